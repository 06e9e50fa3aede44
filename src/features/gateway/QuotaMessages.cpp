#include "gateway/QuotaMessages.h"

#include "peerlink/MessageBody.h"

#include <nlohmann/json.hpp>

namespace rr {

using nlohmann::json;

namespace {

bool isAmount(const json &Value) {
  return Value.is_number_unsigned() &&
         Value.get<std::uint64_t>() <= std::uint64_t(MaxAmount);
}

} // namespace

std::string encodeQuotaRequest(const QuotaRequest &Request) {
  return encodeBody(json::array({Request.Workspace, Request.Wanted}));
}

Outcome<QuotaRequest> decodeQuotaRequest(const std::string &Body) {
  const auto Value = decodeBody(Body);
  if (!Value || !Value->is_array() || Value->size() != 2 ||
      !(*Value)[0].is_string() || !isAmount((*Value)[1]))
    return failure(Errc::Malformed);
  return QuotaRequest{(*Value)[0].get<std::string>(),
                      (*Value)[1].get<MicroRequests>()};
}

std::string encodeQuotaGrant(const QuotaGrant &Grant) {
  return encodeBody(json::array({Grant.Amount, Grant.Wait.count()}));
}

Outcome<QuotaGrant> decodeQuotaGrant(const std::string &Body) {
  const auto Value = decodeBody(Body);
  if (!Value || !Value->is_array() || Value->size() != 2 ||
      !isAmount((*Value)[0]) || !(*Value)[1].is_number_unsigned())
    return failure(Errc::Malformed);
  return QuotaGrant{(*Value)[0].get<MicroRequests>(),
                    Clock::duration((*Value)[1].get<Clock::rep>())};
}

std::string encodeQuotaTransfer(const QuotaTransfer &Transfer) {
  json Value = json::object();
  for (const auto &[Workspace, Amount] : Transfer)
    Value[Workspace] = Amount;
  return encodeBody(Value);
}

Outcome<QuotaTransfer> decodeQuotaTransfer(const std::string &Body) {
  const auto Value = decodeBody(Body);
  if (!Value || !Value->is_object())
    return failure(Errc::Malformed);
  QuotaTransfer Transfer;
  for (const auto &[Workspace, Amount] : Value->items()) {
    if (!isAmount(Amount))
      return failure(Errc::Malformed);
    Transfer[Workspace] = Amount.get<MicroRequests>();
  }
  return Transfer;
}

} // namespace rr
