#ifndef REDWINGRACK_PEERLINK_PEERSLOT_H
#define REDWINGRACK_PEERLINK_PEERSLOT_H

#include "base/Timer.h"
#include "peerlink/Link.h"

#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace rr {

/// Type an instance knows about one peer.
struct PeerSlot {
  explicit PeerSlot(const asio::any_io_executor &Executor)
      : WakeTimer(Executor) {}

  std::string Name;
  /// Where to connect to, while KeepLinked.
  asio::ip::tcp::endpoint Address;
  bool KeepLinked = false;
  bool DialLoopRunning = false;
  /// The link that new messages use.
  std::shared_ptr<Link> Active;
  /// Socket of the connection attempt that is going on.
  std::shared_ptr<asio::ip::tcp::socket> PendingSocket;
  /// The link whose handshake the dialer waits for.
  std::shared_ptr<Link> PendingLink;
  /// Wakes the dialer after a change; it looks at everything again.
  Timer WakeTimer;

  /// Ends the dialer.
  void stopDialing() {
    this->KeepLinked = false;
    this->PendingLink = nullptr;
    asio::error_code Ignored;
    if (this->PendingSocket)
      this->PendingSocket->close(Ignored);
    this->WakeTimer.cancel();
  }
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEERSLOT_H
