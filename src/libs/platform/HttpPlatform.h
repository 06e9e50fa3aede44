#ifndef REDWINGRACK_PLATFORM_HTTPPLATFORM_H
#define REDWINGRACK_PLATFORM_HTTPPLATFORM_H

#include "platform/Platform.h"

#include <chrono>
#include <string>

namespace rr {

class HttpClient;

/// Client of the platform's services over HTTP with JSON, as described in
/// docs/platform.md. \p Client must outlive the result. \p Timeout is the limit
/// for each call, including the connection.
Platform makeHttpPlatform(HttpClient &Client, std::string BaseUrl,
                          std::chrono::milliseconds Timeout);

} // namespace rr

#endif // REDWINGRACK_PLATFORM_HTTPPLATFORM_H
