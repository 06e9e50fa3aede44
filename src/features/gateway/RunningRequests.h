#ifndef REDWINGRACK_GATEWAY_RUNNINGREQUESTS_H
#define REDWINGRACK_GATEWAY_RUNNINGREQUESTS_H

#include "base/Cancellation.h"

#include <memory>
#include <set>
#include <utility>

namespace rr {

/// The callers' requests that have no answer yet, so that a stop can end them.
class RunningRequests {
public:
  /// Lists a request during its lifetime. The list is shared, since a request
  /// that never ends is destroyed after the instance.
  class Scope {
  public:
    Scope(const RunningRequests &Requests, CancellationPtr Request)
        : Running(Requests.Items), Item(std::move(Request)) {
      this->Running->insert(this->Item);
    }
    ~Scope() { this->Running->erase(this->Item); }
    Scope(const Scope &) = delete;
    Scope &operator=(const Scope &) = delete;

  private:
    std::shared_ptr<std::set<CancellationPtr>> Running;
    CancellationPtr Item;
  };

  /// Cancels all requests.
  void cancelAll() {
    for (const CancellationPtr &Item : std::exchange(*this->Items, {}))
      Item->cancel();
  }

private:
  std::shared_ptr<std::set<CancellationPtr>> Items =
      std::make_shared<std::set<CancellationPtr>>();
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_RUNNINGREQUESTS_H
