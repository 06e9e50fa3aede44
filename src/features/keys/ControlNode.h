#ifndef REDWINGRACK_KEYS_CONTROLNODE_H
#define REDWINGRACK_KEYS_CONTROLNODE_H

#include "configuration/ConfigStore.h"
#include "keys/KeySet.h"
#include "keys/WithdrawalTracker.h"
#include "membership/FreshnessTracker.h"
#include "membership/MemberTable.h"
#include "membership/PeerExchange.h"
#include "platform/Platform.h"

#include <asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace rr {

/// Keeps the control state of one instance current: exchanges messages with
/// peers, reads the store and fetches what is missing. Knows no transport:
/// outgoing calls go through PeerCall, incoming ones come to handle().
/// It must outlive the coroutines that it starts.
class ControlNode {
public:
  /// Calls a method of a peer within at most 1 s. Errc::ConnectionRefused
  /// only when the peer's host refused, which shows the end of the process.
  using PeerCall = std::function<asio::awaitable<Outcome<nlohmann::json>>(
      std::string Peer, std::string Method, nlohmann::json Payload)>;

  ControlNode(asio::any_io_executor Executor, Member Self, Platform Store,
              PeerCall Call);
  ControlNode(const ControlNode &) = delete;
  ControlNode &operator=(const ControlNode &) = delete;

  /// Starts whatever is due. To be called every 50 ms.
  void tick();
  /// Answers a call of a peer. Errc::Malformed for a message that is wrong,
  /// Errc::NotFound for an unknown method.
  Outcome<nlohmann::json> handle(const std::string &Method,
                                 const nlohmann::json &Payload);

  /// Withdraws a key here, at the peers and in the store. Returns the state
  /// after the first attempt; withdrawalReport() has later ones.
  /// Errc::LimitReached when too many wait for the store.
  asio::awaitable<Outcome<WithdrawalReport>> withdraw(KeyHash Hash);
  /// Errc::NotFound when this instance did not take that withdrawal.
  Outcome<WithdrawalReport> withdrawalReport(const KeyHash &Hash);

  Clock::time_point validUntil() const { return this->Freshness.validUntil(); }
  const KeySet &keys() const { return this->Keys; }
  const ConfigStore &config() const { return this->Config; }
  MemberTable &members() { return this->Members; }
  PeerExchange &exchange() { return this->Exchange; }
  bool isSynchronised() const { return this->Freshness.isSynchronised(); }
  /// Peers that are asked for the control state once a second until it is
  /// synchronised, so that an instance can start while the store is down.
  void setSeeds(std::vector<std::string> Names);
  /// The share table that this instance has in force.
  void setShareEpoch(std::uint64_t Epoch);
  /// Registers how a newer share table is taken over: from the store when the
  /// peer is empty. It calls setShareEpoch() when that succeeds.
  using FollowShares = std::function<asio::awaitable<void>(std::uint64_t Epoch,
                                                           std::string Peer)>;
  void onShares(FollowShares Follow) { this->Shares = std::move(Follow); }
  /// A peer says that control state has changed: reads the store at the next
  /// tick.
  void hint();
  /// Whether the last read of the store failed.
  bool isStoreDown() const { return this->StoreDown; }

private:
  void startMessages(Clock::time_point Now);
  void startPushes(Clock::time_point Now);
  void startSeeds(Clock::time_point Now);
  void startStoreRound(Clock::time_point Now);
  void refreshHeld();
  void forgetOld(Clock::time_point Now);
  void noteDurable();
  void fillLater(const std::string &Peer, const MessageGap &Gap);

  asio::awaitable<Outcome<nlohmann::json>>
  call(std::string Peer, std::string Method, nlohmann::json Payload);
  asio::awaitable<void> exchangeWith(std::string Peer, bool IsRelayLink);
  asio::awaitable<void> probe(std::string Peer);
  asio::awaitable<void> push(std::string Peer, KeyHash Hash);
  asio::awaitable<void> fill(std::string Peer, MessageGap Gap);
  asio::awaitable<Outcome<void>> fetchMembers(std::string Peer);
  asio::awaitable<Outcome<void>> fetchKeys(std::string Peer);
  asio::awaitable<Outcome<void>> fetchConfig(std::string Peer);
  asio::awaitable<void> storeRound();
  asio::awaitable<Outcome<void>> followHead();
  asio::awaitable<Outcome<void>> refreshMembers();

  asio::any_io_executor Executor;
  Platform Store;
  PeerCall Call;
  MemberTable Members;
  FreshnessTracker Freshness;
  PeerExchange Exchange;
  KeySet Keys;
  ConfigStore Config;
  std::uint64_t ShareEpoch = 0;
  FollowShares Shares;
  std::vector<std::string> Seeds;
  Clock::time_point NextSeedRound = Clock::time_point::min();
  bool StoreDown = false;
  bool Hinted = false;
  std::map<KeyHash, WithdrawalTracker> Withdrawals;
  /// Next time for a message, by purpose and peer.
  std::map<std::string, Clock::time_point> NextSend;
  std::set<std::string> InFlight;
  Clock::time_point NextStoreRound = Clock::time_point::min();
  Clock::time_point NextMemberRead = Clock::time_point::min();
  bool StoreBusy = false;
  /// The own row is written, and all rows and the list were read after it.
  bool Joined = false;
};

} // namespace rr

#endif // REDWINGRACK_KEYS_CONTROLNODE_H
