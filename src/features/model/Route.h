#ifndef REDWINGRACK_MODEL_ROUTE_H
#define REDWINGRACK_MODEL_ROUTE_H

#include <chrono>
#include <string>
#include <vector>

namespace rr {

/// Maps methods and a path prefix to a service.
struct Route {
  std::string Name;
  std::string Service;
  std::vector<std::string> Methods;
  std::string PathPrefix;
  /// Requests on open routes need no API key.
  bool Open = false;
  /// Maximum time from the arrival of a request to its response.
  std::chrono::milliseconds Timeout{5000};
};

} // namespace rr

#endif // REDWINGRACK_MODEL_ROUTE_H
