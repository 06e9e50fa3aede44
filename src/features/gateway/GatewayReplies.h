#ifndef REDWINGRACK_GATEWAY_GATEWAYREPLIES_H
#define REDWINGRACK_GATEWAY_GATEWAYREPLIES_H

#include "base/Clock.h"
#include "http1/HttpMessage.h"

#include <string>

namespace rr {

/// A plain-text reply of the instance itself. 429 and 503 guarantee that the
/// request did not run and will not run.
HttpMessage plainReply(int Status, const std::string &Text);

/// A refusal with a Retry-After header.
HttpMessage refusalReply(int Status, const std::string &Text,
                         Clock::duration RetryAfter);

/// Refusal of a request that this instance cannot finish because it stops. The
/// caller's connection is closed after it.
HttpMessage stopRefusal(Clock::duration RetryAfter);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_GATEWAYREPLIES_H
