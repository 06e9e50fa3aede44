#ifndef REDWINGRACK_BASE_CANCELLATION_H
#define REDWINGRACK_BASE_CANCELLATION_H

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace rr {

/// Notifies the code that processes a request when the request is cancelled,
/// for example because its caller has disconnected.
class Cancellation {
public:
  bool isCancelled() const { return this->Cancelled; }

  /// Calls \p Callback on cancel(), or immediately if already cancelled.
  void onCancel(std::function<void()> Callback) {
    if (this->Cancelled)
      Callback();
    else
      this->Callbacks.push_back(std::move(Callback));
  }

  void cancel() {
    if (this->Cancelled)
      return;
    this->Cancelled = true;
    for (const auto &Callback : std::exchange(this->Callbacks, {}))
      Callback();
  }

private:
  bool Cancelled = false;
  std::vector<std::function<void()>> Callbacks;
};

using CancellationPtr = std::shared_ptr<Cancellation>;

} // namespace rr

#endif // REDWINGRACK_BASE_CANCELLATION_H
