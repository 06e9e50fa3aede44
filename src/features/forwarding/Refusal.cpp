#include "forwarding/Refusal.h"

#include "httpserver/HttpResponse.h"
#include "httpserver/ReasonPhrase.h"

#include <nlohmann/json.hpp>

namespace rr {

const char *executionName(Execution Value) {
  return Value == Execution::NotRun ? "not_run" : "unknown";
}

HttpResponse refusalResponse(const Refusal &Why) {
  const nlohmann::json Body = {
      {"type", "urn:redwingrack:refusal:" + Why.Reason},
      {"title", reasonPhrase(Why.Status)},
      {"status", Why.Status},
      {"detail", Why.Detail},
      {"reason", Why.Reason},
      {"outcome", executionName(Why.Outcome)}};
  HttpResponse Result = jsonResponse(Why.Status, Body.dump());
  Result.Headers = {{"Content-Type", "application/problem+json"}};
  if (Why.RetryAfter.count() > 0)
    Result.Headers.push_back(
        {"Retry-After", std::to_string(Why.RetryAfter.count())});
  if (Why.Status == 401)
    Result.Headers.push_back({"WWW-Authenticate", "Bearer"});
  return Result;
}

} // namespace rr
