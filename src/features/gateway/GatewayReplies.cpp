#include "gateway/GatewayReplies.h"

#include <cstdio>

namespace rr {

HttpMessage plainReply(int Status, const std::string &Text) {
  HttpMessage Reply;
  Reply.Status = Status;
  Reply.Headers.push_back({"Content-Type", "text/plain"});
  Reply.Body = Text + "\n";
  return Reply;
}

HttpMessage refusalReply(int Status, const std::string &Text,
                         Clock::duration RetryAfter) {
  HttpMessage Reply = plainReply(Status, Text);
  char Seconds[32];
  std::snprintf(Seconds, sizeof Seconds, "%.3f",
                std::chrono::duration<double>(RetryAfter).count());
  Reply.Headers.push_back({"Retry-After", Seconds});
  return Reply;
}

HttpMessage stopRefusal(Clock::duration RetryAfter) {
  HttpMessage Reply = refusalReply(
      503, "this instance stops before the request would be done", RetryAfter);
  Reply.KeepAlive = false;
  return Reply;
}

} // namespace rr
