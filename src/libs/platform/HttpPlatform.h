#ifndef REDWINGRACK_PLATFORM_HTTPPLATFORM_H
#define REDWINGRACK_PLATFORM_HTTPPLATFORM_H

#include "platform/Platform.h"

#include <chrono>
#include <string>

namespace rr {

class HttpClient;

/// The platform's services over HTTP with JSON, as docs/platform.md describes
/// them. \p Client must outlive the result. \p Timeout bounds each call.
Platform makeHttpPlatform(HttpClient &Client, std::string BaseUrl,
                          std::chrono::milliseconds Timeout);

} // namespace rr

#endif // REDWINGRACK_PLATFORM_HTTPPLATFORM_H
