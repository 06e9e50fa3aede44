#ifndef REDWINGRACK_INSTANCE_PEERPUBLISHER_H
#define REDWINGRACK_INSTANCE_PEERPUBLISHER_H

#include "base/Clock.h"
#include "instance/PeerNetwork.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace rr {

struct InstanceState;

/// Tells all instances something.
class PeerPublisher {
public:
  PeerPublisher(InstanceState &State, const PeerNetwork &Network,
                asio::any_io_executor Executor);

  /// One way, to the instances that a link is up to.
  void publish(const std::string &Method, const nlohmann::json &Body);

  /// Returns when every live instance has confirmed all messages, at the
  /// latest after \p Most.
  asio::awaitable<void> publishAcknowledged(std::string Method,
                                            std::vector<nlohmann::json> Bodies,
                                            Clock::duration Most);

private:
  struct Acknowledgements;

  asio::awaitable<void> tell(std::string Peer, std::string Method,
                             nlohmann::json Body, Clock::time_point Deadline,
                             std::shared_ptr<Acknowledgements> Open);

  InstanceState &State;
  const PeerNetwork &Network;
  asio::any_io_executor Executor;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_PEERPUBLISHER_H
