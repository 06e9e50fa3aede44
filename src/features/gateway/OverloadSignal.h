#ifndef REDWINGRACK_GATEWAY_OVERLOADSIGNAL_H
#define REDWINGRACK_GATEWAY_OVERLOADSIGNAL_H

#include "steering/LoadNotice.h"

#include <functional>
#include <string>

namespace rr {

class PeerLinks;
struct Message;
struct SteeringState;

/// Tells the other instances of the region at once that an instance is
/// overloaded, or is not any more. Each instance in service passes a notice on
/// once, so that it also reaches those to which its origin has no link.
class OverloadSignal {
public:
  /// \p State and \p Links must outlive the signal.
  OverloadSignal(SteeringState &State, PeerLinks &Links);

  /// Sends the notice to all linked instances.
  void announce(const LoadNotice &Notice);
  /// Sets a handler that is called when the load of another instance changed.
  void onChange(std::function<void()> Handler) {
    this->Changed = std::move(Handler);
  }

private:
  void receive(const std::string &Peer, const Message &Received);

  SteeringState &State;
  PeerLinks &Links;
  std::function<void()> Changed;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_OVERLOADSIGNAL_H
