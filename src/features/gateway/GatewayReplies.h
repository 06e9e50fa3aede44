#ifndef REDWINGRACK_GATEWAY_GATEWAYREPLIES_H
#define REDWINGRACK_GATEWAY_GATEWAYREPLIES_H

#include "base/Clock.h"
#include "http1/HttpMessage.h"

#include <string>

namespace rr {

/// Answers that the instance gives itself. 429 and 503 say that the request
/// has not run and never will.
HttpMessage plainReply(int Status, const std::string &Text);

/// A refusal that tells the caller when to come back.
HttpMessage refusalReply(int Status, const std::string &Text,
                         Clock::duration RetryAfter);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_GATEWAYREPLIES_H
