#ifndef REDWINGRACK_PEERLINK_PEERSLOT_H
#define REDWINGRACK_PEERLINK_PEERSLOT_H

#include "base/Timer.h"
#include "peerlink/Link.h"

#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace rr {

/// What an instance knows about one peer.
struct PeerSlot {
  explicit PeerSlot(const asio::any_io_executor &Executor) : Wake(Executor) {}

  std::string Name;
  /// Where to connect to, while Wanted.
  asio::ip::tcp::endpoint Address;
  bool Wanted = false;
  bool DialerRuns = false;
  /// The link that new messages use.
  std::shared_ptr<Link> Active;
  /// Socket of the connection attempt that is going on.
  std::shared_ptr<asio::ip::tcp::socket> Connecting;
  /// The link whose handshake the dialer waits for.
  std::shared_ptr<Link> Dialing;
  /// Wakes the dialer after a change; it looks at everything again.
  Timer Wake;

  /// Ends the dialer.
  void giveUp() {
    this->Wanted = false;
    this->Dialing = nullptr;
    asio::error_code Ignored;
    if (this->Connecting)
      this->Connecting->close(Ignored);
    this->Wake.cancel();
  }
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEERSLOT_H
