#ifndef REDWINGRACK_BASE_CANCELLATION_H
#define REDWINGRACK_BASE_CANCELLATION_H

#include "base/Clock.h"

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace rr {

/// Notifies the code that processes a request when the request is cancelled,
/// for example because its caller has disconnected.
class Cancellation {
public:
  /// Looks whether the caller has left, without waiting for the event loop to
  /// report it. Returns the time since then, zero if it is not known; empty
  /// while the caller is there.
  using Probe = std::function<std::optional<Clock::duration>()>;

  bool isCancelled() const { return this->Cancelled; }

  void setProbe(Probe Function) { this->HasLeft = std::move(Function); }

  /// The same as isCancelled(), but asks the probe first, and cancels if the
  /// caller has left.
  bool checkCancelled() {
    if (this->Cancelled || !this->HasLeft)
      return this->Cancelled;
    if (const auto Gone = this->HasLeft()) {
      this->CancelledAt = Clock::now() - *Gone;
      this->cancel();
    }
    return this->Cancelled;
  }

  /// When the caller left or the request was cancelled for another reason;
  /// empty before.
  std::optional<Clock::time_point> cancelledAt() const {
    return this->CancelledAt;
  }

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
    this->HasLeft = nullptr;
    if (!this->CancelledAt)
      this->CancelledAt = Clock::now();
    for (const auto &Callback : std::exchange(this->Callbacks, {}))
      Callback();
  }

private:
  bool Cancelled = false;
  std::optional<Clock::time_point> CancelledAt;
  Probe HasLeft;
  std::vector<std::function<void()>> Callbacks;
};

using CancellationPtr = std::shared_ptr<Cancellation>;

} // namespace rr

#endif // REDWINGRACK_BASE_CANCELLATION_H
