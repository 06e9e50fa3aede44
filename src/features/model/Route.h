#ifndef REDWINGRACK_MODEL_ROUTE_H
#define REDWINGRACK_MODEL_ROUTE_H

#include <chrono>
#include <string>
#include <vector>

namespace rr {

/// Method and path prefix that belong to a service.
struct Route {
  std::string Name;
  std::string Service;
  std::vector<std::string> Methods;
  std::string PathPrefix;
  /// Open routes need no key.
  bool Open = false;
  /// Longest time that a request may take from arrival to answer.
  std::chrono::milliseconds Timeout{5000};
};

} // namespace rr

#endif // REDWINGRACK_MODEL_ROUTE_H
