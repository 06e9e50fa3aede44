#ifndef REDWINGRACK_GATEWAY_RESTOREBED_H
#define REDWINGRACK_GATEWAY_RESTOREBED_H

#include "gateway/TwoServerBed.h"

#include <memory>
#include <string>

namespace rr {

/// An instance in service whose store comes back from a copy. The copy is taken
/// by takeCopy().
struct RestoreBed : TwoServerBed {
  RestoreBed() {
    // A reader that asks again at once would never let the clock advance.
    this->Tables.ReadTime = std::chrono::milliseconds(10);
    this->start();
    this->advance(std::chrono::seconds(2));
  }

  void takeCopy() { this->Before = this->Tables.copy(); }
  /// The store is away, and comes back from the copy.
  void restore() {
    this->Tables.Down = true;
    this->advance(std::chrono::milliseconds(400));
    this->Tables.restore(*this->Before);
    this->Tables.Down = false;
  }
  /// Transactions on other tables.
  void writeElsewhere(int Count) {
    for (int Item = 0; Item < Count; ++Item)
      this->Tables.put("other", "row", std::to_string(Item));
  }
  /// Writes the row of \p Id for the run that began at \p StartTimeMs.
  void putServer(const std::string &Id, const std::string &State,
                 int StartTimeMs) {
    this->Tables.put("backends", Id,
                     this->Backends.at(Id).Address + " z-a " + State + " " +
                         std::to_string(StartTimeMs));
  }
  /// Whether requests may be sent to \p Id.
  bool isInUse(const std::string &Id) const {
    const BackendPtr Known = this->Instance->state().Backends.find(Id);
    return Known && !Known->Record.Draining;
  }
  /// Number of requests that \p Id gets of twelve in \p Time. All of them must
  /// be answered.
  std::size_t sentTo(const std::string &Id, Clock::duration Time) {
    constexpr int Requests = 12;
    const std::size_t Earlier = this->Backends.at(Id).Requests.size();
    for (int Request = 0; Request < Requests; ++Request) {
      if (!hasStatus(this->request("GET", "/safe/x"), 200))
        std::abort();
      this->advance(Time / Requests);
    }
    return this->Backends.at(Id).Requests.size() - Earlier;
  }

  std::shared_ptr<const FakeTables::Copy> Before;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_RESTOREBED_H
