#include "peerlink/Envelope.h"

#include "peerlink/MessageBody.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace rr {

namespace {

constexpr std::size_t Members = 5;

bool hasEnvelopeShape(const nlohmann::json &Value) {
  return Value.is_array() && Value.size() == Members &&
         Value[0].is_number_unsigned() && Value[1].is_number_unsigned() &&
         Value[2].is_number_unsigned() && Value[3].is_string() &&
         Value[4].is_binary();
}

} // namespace

bool isMethodName(std::string_view Name) {
  return !Name.empty() && Name.size() <= Envelope::MaxMethodLength &&
         std::all_of(Name.begin(), Name.end(),
                     [](char Char) { return Char > ' ' && Char < '\x7F'; });
}

std::string encodeEnvelope(const Envelope &Value) {
  const std::string &Body = Value.Content.Body;
  nlohmann::json::binary_t Bytes(
      std::vector<std::uint8_t>(Body.begin(), Body.end()));
  nlohmann::json Tree = nlohmann::json::array();
  Tree.push_back(static_cast<std::uint64_t>(Value.Type));
  Tree.push_back(Value.Id);
  Tree.push_back(Value.Number);
  Tree.push_back(Value.Content.Method);
  Tree.push_back(std::move(Bytes));
  return encodeBody(Tree);
}

Outcome<Envelope> decodeEnvelope(std::string_view Bytes) {
  const auto Tree = decodeBody(Bytes);
  if (!Tree || !hasEnvelopeShape(*Tree))
    return failure(Errc::Malformed);
  const auto Kind = (*Tree)[0].get<std::uint64_t>();
  if (Kind > static_cast<std::uint64_t>(Envelope::Kind::Cancel))
    return failure(Errc::Malformed);
  Envelope Result;
  Result.Type = static_cast<Envelope::Kind>(Kind);
  Result.Id = (*Tree)[1].get<std::uint64_t>();
  Result.Number = (*Tree)[2].get<std::uint64_t>();
  Result.Content.Method = (*Tree)[3].get<std::string>();
  const auto &Body = (*Tree)[4].get_binary();
  Result.Content.Body.assign(Body.begin(), Body.end());
  if (!isMethodName(Result.Content.Method))
    return failure(Errc::Malformed);
  return Result;
}

} // namespace rr
