#include "forwarding/Refusal.h"

#include "httpserver/HttpResponse.h"
#include "httpserver/ReasonPhrase.h"

#include <nlohmann/json.hpp>

namespace rr {

const char *executionName(Execution Value) {
  return Value == Execution::NotRun ? "not_run" : "unknown";
}

HttpResponse refusalResponse(const Refusal &Error) {
  const nlohmann::json Body = {
      {"type", "urn:redwingrack:refusal:" + Error.Reason},
      {"title", reasonPhrase(Error.Status)},
      {"status", Error.Status},
      {"detail", Error.Detail},
      {"reason", Error.Reason},
      {"outcome", executionName(Error.Outcome)}};
  HttpResponse Result = jsonResponse(Error.Status, Body.dump());
  Result.Headers = {{"Content-Type", "application/problem+json"}};
  if (Error.RetryAfter.count() > 0)
    Result.Headers.push_back(
        {"Retry-After", std::to_string(Error.RetryAfter.count())});
  if (Error.Status == 401)
    Result.Headers.push_back({"WWW-Authenticate", "Bearer"});
  return Result;
}

} // namespace rr
