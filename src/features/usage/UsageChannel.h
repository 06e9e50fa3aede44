#ifndef REDWINGRACK_USAGE_USAGECHANNEL_H
#define REDWINGRACK_USAGE_USAGECHANNEL_H

#include "base/Clock.h"
#include "base/Outcome.h"

#include <asio/awaitable.hpp>

#include <functional>
#include <map>
#include <string>

namespace rr {

/// Links to other instances as functions.
struct UsageChannel {
  /// Name of the calls with counts.
  static constexpr const char *Method = "usage.counts";

  /// Sends a message to an instance and returns the body of its answer.
  std::function<asio::awaitable<Outcome<std::string>>(
      std::string Peer, std::string Body, Clock::time_point Deadline)>
      Call;
  std::function<bool(const std::string &Peer)> IsLinked;
  /// Sets the instances to keep links to, addresses IP:PORT by name.
  std::function<void(std::map<std::string, std::string> Peers)> SetPeers;
};

} // namespace rr

#endif // REDWINGRACK_USAGE_USAGECHANNEL_H
