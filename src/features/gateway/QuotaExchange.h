#ifndef REDWINGRACK_GATEWAY_QUOTAEXCHANGE_H
#define REDWINGRACK_GATEWAY_QUOTAEXCHANGE_H

#include "base/Clock.h"
#include "gateway/QuotaDecision.h"
#include "gateway/QuotaMessages.h"
#include "telemetry/Metrics.h"

#include <asio/awaitable.hpp>

#include <map>
#include <string>
#include <vector>

namespace rr {

class PeerLinks;
struct IncomingCall;
struct Message;
struct SteeringState;
struct SteeringWorkspace;

/// Brings the tokens of a workspace's rate to where its requests are: the
/// instances of a region pass what they do not need soon on to one of them
/// and ask it for more. Without it each uses its own part.
class QuotaExchange {
public:
  /// All outlive the exchange; \p Links are not started yet.
  QuotaExchange(SteeringState &State, PeerLinks &Links, Metrics &Counters);

  /// Takes one request of the workspace, which outlives the call.
  asio::awaitable<QuotaDecision> acquire(const SteeringWorkspace &Workspace);

  /// Reviews who holds what, and passes tokens on; called often.
  void maintain(Clock::time_point Now);

private:
  /// The holder of a workspace's rate in a region; empty when no instance can
  /// hold any.
  std::string holderFor(const std::string &Workspace,
                        const std::string &Region) const;
  void updateHolders();
  void sendSurplus(Clock::time_point Now);
  /// Takes out what this instance passes on, and names the receiver.
  std::string withdrawSurplus(const SteeringWorkspace &Workspace,
                              MicroRequests &Amount, Clock::time_point Now);
  void handleAsk(const IncomingCall &Call);
  void receiveTokens(const std::string &Peer, const Message &Received);
  asio::awaitable<QuotaDecision>
  askHolder(std::string Workspace, std::string Holder, QuotaDecision Local);
  void countAsk(const char *Result);
  bool hasQuotaShare() const;

  SteeringState &State;
  PeerLinks &Links;
  Metrics &Counters;
  /// Names of the instances that may hold rates, by region: of this one, and
  /// of the others if this instance holds any.
  std::map<std::string, std::vector<std::string>> Holders;
  Clock::time_point NextTransferAt{};
  /// Holders that did not answer are not asked before.
  std::map<std::string, Clock::time_point> SkipHolderUntil;
  /// Workspaces whose holder had nothing are refused without asking before.
  std::map<std::string, Clock::time_point> HolderEmptyUntil;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_QUOTAEXCHANGE_H
