#ifndef REDWINGRACK_INSTANCE_REPORTEXCHANGE_H
#define REDWINGRACK_INSTANCE_REPORTEXCHANGE_H

#include "instance/InstanceReport.h"
#include "instance/PeerNetwork.h"
#include "rollout/VersionStop.h"
#include "routing/SpillGrantor.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rr {

class Admission;
struct InstanceState;

/// Reports between instances once a second, and what relays work out from
/// them: moves of shares, and spill credits between regions.
class ReportExchange {
public:
  ReportExchange(InstanceState &State, const PeerNetwork &Network,
                 Admission &Limits, asio::any_io_executor Executor);

  /// Registers what happens when the counts of several instances together
  /// show that a version is bad. To be called before run().
  void onStop(std::function<void(const VersionStop &)> Handler) {
    this->OnStop = std::move(Handler);
  }

  asio::awaitable<void> run();
  void stop() { this->Stopping = true; }

  /// Reports of other instances.
  void onReports(const nlohmann::json &Body);
  /// Spill credits that the relay of this zone passes on.
  void onSpillGrant(const nlohmann::json &Body);
  /// Answers the relay of a zone of another region.
  Outcome<nlohmann::json> onSpillAsk(const nlohmann::json &Body);

  /// Counts a request whose workspace is being shifted, so that credits for
  /// it are asked for.
  void noteShifted(const std::string &Service, double Share, double Bytes);

  /// Reports that are young enough to act on, this instance's included.
  std::vector<const InstanceReport *> recent(Clock::time_point Now) const;

private:
  InstanceReport makeOwn(Clock::time_point Now);
  void take(InstanceReport Report, Clock::time_point Now);
  void send(Clock::time_point Now);
  void sendTo(const std::vector<std::string> &Peers,
              const std::vector<const InstanceReport *> &Reports,
              Clock::time_point Now);
  void balance(Clock::time_point Now);
  void askForCredits(Clock::time_point Now);
  asio::awaitable<void> askRegionRelay(std::string Relay,
                                       std::vector<SpillAsk> Asks);
  void passOn(const SpillGrant &Grant, Clock::time_point AskedAt);
  void applyGrant(const SpillGrant &Grant, Clock::time_point AskedAt);

  InstanceState &State;
  const PeerNetwork &Network;
  Admission &Limits;
  asio::any_io_executor Executor;
  std::function<void(const VersionStop &)> OnStop;
  std::map<std::string, InstanceReport> Reports;
  std::map<std::string, Overflow> Shifted;
  std::unique_ptr<SpillGrantor> Grantor;
  std::uint32_t Granters = 0;
  bool Stopping = false;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_REPORTEXCHANGE_H
