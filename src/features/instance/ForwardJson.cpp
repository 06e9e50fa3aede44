#include "instance/ForwardJson.h"

#include "membership/MessageReader.h"

#include <utility>

namespace rr {

namespace {

using nlohmann::json;

constexpr std::size_t MostText = 64U << 10;
constexpr std::size_t MostHeaders = 256;

json binary(const std::string &Data) {
  return json::binary({Data.begin(), Data.end()});
}

bool readBinary(const json &Body, const char *Key, std::string &Target) {
  const auto Found = Body.find(Key);
  if (Found == Body.end() || !Found->is_binary())
    return false;
  const auto &Data = Found->get_binary();
  Target.assign(Data.begin(), Data.end());
  return true;
}

// Header values may hold bytes that are no UTF-8, so they travel as binary.
json encodeHeaders(const HttpHeaders &Headers) {
  json Result = json::array();
  for (const HttpHeader &Field : Headers) {
    Result.push_back(binary(Field.Name));
    Result.push_back(binary(Field.Value));
  }
  return Result;
}

bool readHeaders(const json &Body, HttpHeaders &Target) {
  const auto Found = Body.find("headers");
  if (Found == Body.end() || !Found->is_array() || Found->size() % 2 != 0 ||
      Found->size() > 2 * MostHeaders)
    return false;
  for (std::size_t I = 0; I < Found->size(); I += 2) {
    const json &Name = (*Found)[I];
    const json &Value = (*Found)[I + 1];
    if (!Name.is_binary() || !Value.is_binary())
      return false;
    Target.push_back({{Name.get_binary().begin(), Name.get_binary().end()},
                      {Value.get_binary().begin(), Value.get_binary().end()}});
  }
  return true;
}

} // namespace

json encodeForward(const ForwardedRequest &Item) {
  const DispatchRequest &Request = Item.Request;
  return {{"service", Request.Service},
          {"route", Request.Route},
          {"workspace", Request.Workspace},
          {"method", Request.Method},
          {"target", binary(Request.Target)},
          {"headers", encodeHeaders(Request.Headers)},
          {"body", binary(Request.Body)},
          {"trace", formatTraceParent(Request.Trace)},
          {"fingerprint", Request.Fingerprint},
          {"version", Item.Version},
          {"spilled", Item.Spilled},
          {"may_retry", Item.MayRetry}};
}

Outcome<ForwardedRequest> decodeForward(const json &Body) {
  MessageReader Reader(Body);
  ForwardedRequest Result;
  DispatchRequest &Request = Result.Request;
  Request.Service = Reader.name("service");
  Request.Route = Reader.text("route");
  Request.Workspace = Reader.text("workspace");
  Request.Method = Reader.name("method");
  Request.Fingerprint = Reader.text("fingerprint");
  Result.Version = Reader.text("version");
  Result.Spilled = Reader.flag("spilled");
  Result.MayRetry = Reader.flag("may_retry");
  const auto Trace = parseTraceParent(Reader.text("trace"));
  if (!Reader.isGood() || !Trace || !readHeaders(Body, Request.Headers) ||
      !readBinary(Body, "target", Request.Target) ||
      !readBinary(Body, "body", Request.Body) ||
      Request.Target.size() > MostText)
    return failure(Errc::Malformed);
  Request.Trace = *Trace;
  return Result;
}

json encodeResult(const DispatchResult &Item) {
  return {
      {"answered", Item.Answered},
      {"status", static_cast<std::uint64_t>(Item.Status)},
      {"headers", encodeHeaders(Item.Headers)},
      {"body", binary(Item.Body)},
      {"unknown", Item.Outcome == Execution::Unknown},
      {"reason", Item.Reason},
      {"retry_after_s", static_cast<std::uint64_t>(Item.RetryAfter.count())},
      {"server", Item.Server},
      {"version", Item.Version},
      {"connection_ended", Item.ConnectionEnded}};
}

Outcome<DispatchResult> decodeResult(const json &Body) {
  MessageReader Reader(Body);
  DispatchResult Result;
  Result.Answered = Reader.flag("answered");
  Result.Status = static_cast<int>(Reader.count("status"));
  Result.Outcome =
      Reader.flag("unknown") ? Execution::Unknown : Execution::NotRun;
  Result.Reason = Reader.text("reason");
  Result.RetryAfter = std::chrono::seconds(Reader.count("retry_after_s"));
  Result.Server = Reader.text("server");
  Result.Version = Reader.text("version");
  Result.ConnectionEnded = Reader.flag("connection_ended");
  if (!Reader.isGood() || !readHeaders(Body, Result.Headers) ||
      !readBinary(Body, "body", Result.Body))
    return failure(Errc::Malformed);
  return Result;
}

} // namespace rr
