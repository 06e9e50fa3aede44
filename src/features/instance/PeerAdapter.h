#ifndef REDWINGRACK_INSTANCE_PEERADAPTER_H
#define REDWINGRACK_INSTANCE_PEERADAPTER_H

#include "instance/PeerNetwork.h"
#include "peerlink/PeerNode.h"

#include <asio/io_context.hpp>
#include <map>
#include <string>

namespace rr {

class InstanceCore;
class Metrics;

/// Puts the peer links under an instance: JSON bodies over PeerNode.
class PeerAdapter {
public:
  /// Listens at once. Throws std::runtime_error when the address cannot be
  /// used.
  PeerAdapter(asio::io_context &Context, PeerOptions Options,
              Metrics &Counters);

  PeerNetwork network();
  /// Passes messages and calls of peers to \p Core, which outlives the links.
  void attach(InstanceCore &Core);
  void stop() { this->Node.stop(); }

private:
  asio::awaitable<Outcome<nlohmann::json>>
  call(std::string Peer, std::string Method, nlohmann::json Body,
       Clock::time_point Deadline, CancellationPtr Cancel);
  asio::awaitable<Outcome<Message>> answer(InstanceCore &Core,
                                           IncomingCall Call);
  void onEvent(const PeerEvent &Event);

  PeerNode Node;
  Metrics &Counters;
  /// When the peer's host last refused a connection.
  std::map<std::string, Clock::time_point> RefusedAt;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_PEERADAPTER_H
