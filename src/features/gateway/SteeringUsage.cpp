#include "gateway/SteeringInstance.h"
#include "tables/BootTime.h"

namespace rr {

namespace {

const std::string LinkUser = "usage";

/// An instance whose view of the lease is older than this does not claim it; a
/// little more than two reads of the table.
constexpr Clock::duration MaxLeaseAge = std::chrono::seconds(5);

UsageChannel usageChannel(PeerLinks &Links) {
  UsageChannel Channel;
  Channel.Call =
      [&Links](
          std::string Peer, std::string Body,
          Clock::time_point Deadline) -> asio::awaitable<Outcome<std::string>> {
    // GCC 12 destroys a temporary aggregate in the arguments of co_await twice.
    Message Call{UsageChannel::Method, std::move(Body)};
    auto Answer =
        co_await Links.call(std::move(Peer), std::move(Call), Deadline);
    if (!Answer)
      co_return tl::unexpected(Answer.error());
    co_return std::move(Answer->Body);
  };
  Channel.IsLinked = [&Links](const std::string &Peer) {
    return Links.isLinked(Peer);
  };
  Channel.SetPeers = [&Links](std::map<std::string, std::string> Peers) {
    Links.setDesiredPeers(LinkUser, std::move(Peers));
  };
  return Channel;
}

} // namespace

bool SteeringInstance::mayReportUsage() const {
  // Without links the counts of the other instances do not arrive.
  const bool HasLinks =
      this->State.Settings.PeerAddress.empty() || this->Links.isStarted();
  return HasLinks && !this->State.Standby && this->isReady() &&
         !this->MemberTable.isFailing() &&
         bootTime() - this->MemberTable.currentUntil() < MaxLeaseAge;
}

void SteeringInstance::createUsageReporter(UsageApi ReportUsage) {
  const GatewaySettings &Settings = this->State.Settings;
  UsageReporter::Hooks Hooks;
  Hooks.IsCandidate = [this] { return this->mayReportUsage(); };
  Hooks.IsInService = [this] {
    return this->State.MembersKnown && !this->State.Standby;
  };
  Hooks.InService = [this] { return this->State.Members.inService(); };
  Hooks.RefreshLease = [this] { this->startRefresh(this->MemberTable); };
  this->Usage = std::make_unique<UsageReporter>(
      this->Context,
      UsageReporter::Options{Settings.Name,
                             this->Members.ownRecord().Incarnation,
                             Settings.PeerAddress, Settings.Usage},
      this->Store, usageChannel(this->Links), std::move(ReportUsage),
      std::move(Hooks), this->Counters);
  this->RequestGateway.setUsageCounter(this->Usage->counter());
  this->Links.onCall(UsageChannel::Method, [this](const IncomingCall &Call) {
    const auto Answer = this->Usage->receive(Call.Peer, Call.Request.Body);
    if (Answer)
      Call.Answer(Message{UsageChannel::Method, *Answer});
    else
      Call.Answer(tl::unexpected(Answer.error()));
  });
}

} // namespace rr
