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

/// Moves rate tokens of workspaces to the instances that receive the requests.
/// In each region one instance per workspace is the holder: the others transfer
/// their surplus tokens to it and ask it for more. If the holder is not
/// available, each instance uses its own share of the rate.
class QuotaExchange {
public:
  /// All references must outlive the exchange. \p Links must not have been
  /// started yet.
  QuotaExchange(SteeringState &State, PeerLinks &Links, Metrics &Counters);

  /// Takes a token for one request of \p Workspace, locally or from the holder.
  /// \p Workspace must outlive the call.
  asio::awaitable<QuotaDecision> acquire(const SteeringWorkspace &Workspace);

  /// Updates the holders and transfers surplus tokens. Called periodically;
  /// does nothing until the transfer period is over.
  void maintain(Clock::time_point Now);

private:
  /// Name of the instance that holds tokens of a workspace for a region; empty
  /// if there is none.
  std::string holderFor(const std::string &Workspace,
                        const std::string &Region) const;
  void updateHolders();
  void sendSurplus(Clock::time_point Now);
  /// Withdraws the surplus tokens of a workspace into \p Amount and returns the
  /// name of the instance to send them to; empty if it is not linked.
  std::string withdrawSurplus(const SteeringWorkspace &Workspace,
                              MicroRequests &Amount, Clock::time_point Now);
  void handleAsk(const IncomingCall &Call);
  void receiveTokens(const std::string &Peer, const Message &Received);
  /// Asks \p Holder for tokens. Returns \p Local if it does not answer.
  asio::awaitable<QuotaDecision>
  askHolder(std::string Workspace, std::string Holder, QuotaDecision Local);
  void countAsk(const char *Result);
  /// Whether the other instances reserve quota shares for this one. Drops the
  /// tokens of an earlier tenure of the share, and so is asked before tokens
  /// are used, received or transferred.
  bool useQuotaShare();
  /// Refusal of a request while this instance has no share.
  static QuotaDecision noShare();

  SteeringState &State;
  PeerLinks &Links;
  Metrics &Counters;
  /// Names of the instances that may hold tokens, by region. Other regions are
  /// listed only if this instance may hold tokens in its own.
  std::map<std::string, std::vector<std::string>> Holders;
  Clock::time_point NextTransferAt{};
  /// Holders that did not answer, and the time until which they are not asked.
  std::map<std::string, Clock::time_point> SkipHolderUntil;
  /// Workspaces whose holder had no tokens, and the time until which requests
  /// are refused without asking it.
  std::map<std::string, Clock::time_point> HolderEmptyUntil;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_QUOTAEXCHANGE_H
