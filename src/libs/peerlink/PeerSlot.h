#ifndef REDWINGRACK_PEERLINK_PEERSLOT_H
#define REDWINGRACK_PEERLINK_PEERSLOT_H

#include "base/Timer.h"
#include "peerlink/Link.h"

#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace rr {

/// State of the connection to one peer.
struct PeerSlot {
  explicit PeerSlot(const asio::any_io_executor &Executor)
      : WakeTimer(Executor) {}

  std::string Name;
  /// Address to connect to. Valid while KeepLinked is set.
  asio::ip::tcp::endpoint Address;
  bool KeepLinked = false;
  bool DialLoopRunning = false;
  /// Link used for new messages.
  std::shared_ptr<Link> Active;
  /// Socket of the current connection attempt.
  std::shared_ptr<asio::ip::tcp::socket> PendingSocket;
  /// Link whose handshake the dial loop waits for.
  std::shared_ptr<Link> PendingLink;
  /// Cancelled after each change to wake the dial loop, which then checks the
  /// whole state again.
  Timer WakeTimer;

  /// Aborts the current connection attempt and ends the dial loop.
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
