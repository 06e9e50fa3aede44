#include "idempotency/ClaimRow.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <array>
#include <cstddef>

namespace rr {

namespace {

using nlohmann::json;

constexpr std::array<const char *, 3> StateNames{"open", "done", "released"};
constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;

std::string toBase64(const std::string &Bytes) {
  std::string Result((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int Size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Result.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Result.resize(static_cast<std::size_t>(Size));
  return Result;
}

bool fromBase64(const json &Value, std::string &Result) {
  if (!Value.is_string())
    return false;
  const auto &Text = Value.get_ref<const std::string &>();
  if (Text.size() % 4 != 0)
    return false;
  Result.assign(Text.size() / 4 * 3, '\0');
  const int Size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Result.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Size < 0)
    return false;
  // EVP_DecodeBlock counts the padding as data.
  const std::size_t End = Text.find_last_not_of('=');
  const std::size_t Padding =
      End == std::string::npos ? 0 : Text.size() - End - 1;
  if (Padding > 2)
    return false;
  Result.resize(static_cast<std::size_t>(Size) - Padding);
  return true;
}

bool readText(const json &Object, const char *Key, std::string &Result) {
  const auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_string() || Found->empty())
    return false;
  Result = Found->get<std::string>();
  return !Result.empty();
}

bool readHeaders(const json &List, RecordedAnswer &Result) {
  if (!List.is_array())
    return false;
  for (const json &Item : List) {
    std::string Name, Value;
    if (!Item.is_array() || Item.size() != 2 || !fromBase64(Item[0], Name) ||
        !fromBase64(Item[1], Value))
      return false;
    Result.Headers.emplace_back(std::move(Name), std::move(Value));
  }
  return true;
}

bool readAnswer(const json &Object, RecordedAnswer &Result) {
  const auto Status = Object.find("status");
  const auto Headers = Object.find("headers");
  const auto Body = Object.find("body");
  if (Status == Object.end() || !Status->is_number_unsigned() ||
      Headers == Object.end() || Body == Object.end())
    return false;
  Result.Status = Status->get<int>();
  return Result.Status >= MinStatus && Result.Status <= MaxStatus &&
         readHeaders(*Headers, Result) && fromBase64(*Body, Result.Body);
}

} // namespace

std::string formatClaimRow(const ClaimRow &Value) {
  json Object;
  Object["state"] = StateNames[static_cast<std::size_t>(Value.State)];
  Object["token"] = Value.Token;
  Object["digest"] = Value.Digest;
  if (Value.State == ClaimRow::ClaimState::Done) {
    Object["status"] = static_cast<unsigned>(Value.Answer.Status);
    Object["headers"] = json::array();
    for (const auto &[Name, Text] : Value.Answer.Headers)
      Object["headers"].push_back({toBase64(Name), toBase64(Text)});
    Object["body"] = toBase64(Value.Answer.Body);
  }
  return Object.dump();
}

std::optional<ClaimRow> parseClaimRow(const std::string &Text) {
  const json Object = json::parse(Text, nullptr, false);
  ClaimRow Result;
  std::string State;
  if (!Object.is_object() || !readText(Object, "state", State) ||
      !readText(Object, "token", Result.Token) ||
      !readText(Object, "digest", Result.Digest))
    return std::nullopt;
  for (std::size_t I = 0; I < StateNames.size(); ++I) {
    if (State != StateNames[I])
      continue;
    Result.State = static_cast<ClaimRow::ClaimState>(I);
    if (Result.State == ClaimRow::ClaimState::Done &&
        !readAnswer(Object, Result.Answer))
      return std::nullopt;
    return Result;
  }
  return std::nullopt;
}

} // namespace rr
