#ifndef REDWINGRACK_GATEWAY_TWOSERVERBED_H
#define REDWINGRACK_GATEWAY_TWOSERVERBED_H

#include "gateway/InstanceTestBed.h"

#include <cstdlib>
#include <string>

namespace rr {

inline bool hasStatus(const std::string &Answer, int Status) {
  return Answer.rfind("HTTP/1.1 " + std::to_string(Status) + " ", 0) == 0;
}

/// An instance with two backend servers and a configuration with one key.
struct TwoServerBed : InstanceTestBed {
  explicit TwoServerBed(double Capacity = 1, std::size_t Descriptors = 0)
      : InstanceTestBed(Capacity, Descriptors) {
    this->addBackend("b1");
    this->addBackend("b2");
    this->configure(1, {"key"});
  }

  void start() {
    if (!this->Instance->start())
      std::abort();
    this->advance(std::chrono::milliseconds(100));
  }

  /// The backend server that received requests.
  Backend &used() {
    return this->Backends.at("b1").Requests.empty() ? this->Backends.at("b2")
                                                    : this->Backends.at("b1");
  }
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_TWOSERVERBED_H
