#include "instance/ReportExchange.h"

#include "base/Timer.h"
#include "instance/Admission.h"
#include "instance/InstanceState.h"
#include "instance/SpillJson.h"
#include "limits/LimitsJson.h"
#include "limits/ShareBalancer.h"
#include "membership/MessageReader.h"
#include "model/FleetConfig.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <utility>

namespace rr {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds ReportPeriod{1};
// Older reports say nothing about the present.
constexpr std::chrono::seconds OldestReport{3};
constexpr std::chrono::seconds AskTimeout{1};
// Up to this number of instances, members get the reports of their whole
// region; above it those of their zone, which keeps messages small.
constexpr std::size_t MostRegionReports = 64;
// A shift asks for somewhat more than it needs, since grants lag by a second.
constexpr double ShiftAskFactor = 1.2;

} // namespace

ReportExchange::ReportExchange(InstanceState &State, const PeerNetwork &Network,
                               Admission &Limits,
                               asio::any_io_executor Executor)
    : State(State), Network(Network), Limits(Limits),
      Executor(std::move(Executor)) {}

void ReportExchange::noteShifted(const std::string &Service, double Share,
                                 double Bytes) {
  Overflow &Sum = this->Shifted[Service];
  Sum.Service = Service;
  Sum.Requests += 1;
  Sum.Bytes += Bytes * Share;
}

InstanceReport ReportExchange::makeOwn(Clock::time_point Now) {
  InstanceReport Result;
  Result.MadeAt = Now;
  Result.Demand = this->Limits.report(Now);
  const auto Config = configOf(this->State);
  if (!Config || !this->State.Routing.Routes)
    return Result;
  Router &Routes = *this->State.Routing.Routes;
  Result.Headroom = Routes.servers().headroom(Now);
  for (const VersionSplit &Split : Config->Splits)
    if (const VersionStats *Stats =
            this->State.Routing.Guard.stats(Split.Service))
      Result.Versions[Split.Service] = *Stats;
  for (const ServerPtr &Server : Routes.servers().all())
    if (Server->Owned || Server->Outstanding > 0)
      if (Server->Config.Draining)
        Result.Outstanding[Server->Config.Name] = Server->Outstanding;
  Result.Overflows = Routes.takeOverflow();
  for (auto &[Service, Sum] : this->Shifted) {
    Sum.Requests = static_cast<std::uint64_t>(
        static_cast<double>(Sum.Requests) * ShiftAskFactor + 1);
    Sum.Bytes *= ShiftAskFactor;
    Result.Overflows.push_back(Sum);
  }
  this->Shifted.clear();
  return Result;
}

void ReportExchange::take(InstanceReport Report, Clock::time_point Now) {
  const std::string Name = Report.Demand.Holder.Instance;
  InstanceReport &Known = this->Reports[Name];
  if (Known.MadeAt >= Report.MadeAt && !Known.Demand.Holder.Instance.empty())
    return;
  Known = std::move(Report);
  this->Limits.noteReport(Known.Demand, Now);
  if (!this->State.Routing.Routes ||
      Name == this->State.Control.members().self().Name)
    return;
  for (const auto &[Service, Stats] : Known.Versions)
    if (const auto Stop = this->State.Routing.Guard.observe(
            Service, Name, Stats, Known.MadeAt))
      this->OnStop(*Stop);
  for (const ServiceHeadroom &Item : Known.Headroom)
    this->State.Routing.Routes->peers().report(Name, Item, Now - Known.MadeAt,
                                               Now);
}

void ReportExchange::onReports(const json &Body) {
  const Clock::time_point Now = Clock::now();
  if (!Body.is_array())
    return;
  for (const json &Item : Body) {
    auto Report = decodeReport(Item, Now);
    if (Report)
      this->take(std::move(*Report), Now);
  }
}

std::vector<const InstanceReport *>
ReportExchange::recent(Clock::time_point Now) const {
  std::vector<const InstanceReport *> Result;
  for (const auto &[Name, Report] : this->Reports)
    if (Now - Report.MadeAt <= OldestReport)
      Result.push_back(&Report);
  return Result;
}

void ReportExchange::sendTo(const std::vector<std::string> &Peers,
                            const std::vector<const InstanceReport *> &Reports,
                            Clock::time_point Now) {
  json Body = json::array();
  for (const InstanceReport *Item : Reports)
    Body.push_back(encodeReport(*Item, Now));
  if (Body.empty())
    return;
  for (const std::string &Peer : Peers)
    this->Network.Send(Peer, "reports", Body);
}

void ReportExchange::send(Clock::time_point Now) {
  MemberTable &Members = this->State.Control.members();
  PeerExchange &Exchange = this->State.Control.exchange();
  const Member &Self = Members.self();
  const auto All = this->recent(Now);
  if (!Members.isRelay(Now)) {
    this->sendTo(Exchange.heartbeatTargets(Now), {&this->Reports[Self.Name]},
                 Now);
    return;
  }
  const std::string Region = regionOf(this->State, Self.Zone);
  std::vector<const InstanceReport *> OfZone;
  std::vector<const InstanceReport *> OfRegion;
  for (const InstanceReport *Item : All) {
    if (Item->Demand.Zone == Self.Zone)
      OfZone.push_back(Item);
    if (Item->Demand.Region == Region)
      OfRegion.push_back(Item);
  }
  // Not the targets of zone summaries: a summary is answered, so that only one
  // of two relays sends it, while reports go in both directions.
  std::vector<std::string> OtherRelays;
  for (const std::string &Zone : Members.zones())
    if (Zone != Self.Zone)
      for (const std::string &Relay : Members.relays(Zone, Now))
        OtherRelays.push_back(Relay);
  this->sendTo(OtherRelays, OfZone, Now);
  std::vector<std::string> ZoneMembers;
  for (const MemberEntry *Entry : Members.countedIn(Self.Zone))
    if (Entry->Record.Name != Self.Name)
      ZoneMembers.push_back(Entry->Record.Name);
  this->sendTo(ZoneMembers,
               OfRegion.size() <= MostRegionReports ? OfRegion : OfZone, Now);
}

void ReportExchange::balance(Clock::time_point Now) {
  if (!this->State.Allocation)
    return;
  const Member &Self = this->State.Control.members().self();
  std::vector<DemandReport> Reports;
  for (const InstanceReport *Item : this->recent(Now))
    Reports.push_back(Item->Demand);
  for (const ShareRelease &Move :
       planReleases(Reports, Self.Zone, *this->State.Allocation)) {
    if (Move.Giver.Instance == Self.Name)
      asio::co_spawn(this->Executor, this->Limits.release(Move),
                     asio::detached);
    else
      this->Network.Send(Move.Giver.Instance, "shareRelease",
                         formatShareMove(Move));
  }
}

void ReportExchange::askForCredits(Clock::time_point Now) {
  MemberTable &Members = this->State.Control.members();
  const Member &Self = Members.self();
  const auto Relays = Members.relays(Self.Zone, Now);
  // One relay asks for the zone; the other takes over when it is gone.
  if (Relays.empty() || Relays.front() != Self.Name)
    return;
  const std::string Region = regionOf(this->State, Self.Zone);
  std::map<std::string, SpillAsk> Asks;
  for (const InstanceReport *Item : this->recent(Now)) {
    if (Item->Demand.Zone != Self.Zone)
      continue;
    for (const Overflow &Part : Item->Overflows) {
      SpillAsk &Ask = Asks[Part.Service];
      Ask.Zone = Self.Zone;
      Ask.Region = Region;
      Ask.Service = Part.Service;
      Ask.RequestsPerSecond += static_cast<double>(Part.Requests);
      Ask.BytesPerSecond += Part.Bytes;
    }
  }
  if (Asks.empty())
    return;
  std::vector<SpillAsk> List;
  for (auto &[Service, Ask] : Asks)
    List.push_back(std::move(Ask));
  for (const std::string &Zone : Members.zones())
    if (const std::string Other = regionOf(this->State, Zone);
        !Other.empty() && Other != Region)
      for (const std::string &Relay : Members.relays(Zone, Now))
        asio::co_spawn(this->Executor, this->askRegionRelay(Relay, List),
                       asio::detached);
}

asio::awaitable<void>
ReportExchange::askRegionRelay(std::string Relay, std::vector<SpillAsk> Asks) {
  const Clock::time_point AskedAt = Clock::now();
  const json Body = encodeAsks(Asks);
  const auto Answer = co_await this->Network.Call(
      Relay, "spillAsk", Body, AskedAt + AskTimeout, nullptr);
  if (!Answer)
    co_return;
  const auto Grants = decodeGrants(*Answer);
  if (!Grants)
    co_return;
  for (const SpillGrant &Grant : *Grants)
    this->passOn(Grant, AskedAt);
}

void ReportExchange::passOn(const SpillGrant &Grant,
                            Clock::time_point AskedAt) {
  const Clock::time_point Now = Clock::now();
  const Member &Self = this->State.Control.members().self();
  std::vector<std::string> Names;
  std::vector<double> Demands;
  for (const InstanceReport *Item : this->recent(Now)) {
    if (Item->Demand.Zone != Self.Zone)
      continue;
    double Demand = 0;
    for (const Overflow &Part : Item->Overflows)
      if (Part.Service == Grant.Service)
        Demand += static_cast<double>(Part.Requests);
    Names.push_back(Item->Demand.Holder.Instance);
    Demands.push_back(Demand);
  }
  const auto Parts = SpillCredits::divide(Grant, Demands);
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    if (Names[I] == Self.Name) {
      this->applyGrant(Parts[I], AskedAt);
      continue;
    }
    json Body = encodeGrant(Parts[I]);
    Body["age_ms"] = encodeAge(Now - AskedAt);
    this->Network.Send(Names[I], "spillGrant", Body);
  }
}

void ReportExchange::applyGrant(const SpillGrant &Grant,
                                Clock::time_point AskedAt) {
  if (this->State.Routing.Routes)
    this->State.Routing.Routes->credits().apply(Grant, AskedAt, Clock::now());
}

void ReportExchange::onSpillGrant(const json &Body) {
  MessageReader Reader(Body);
  const Clock::duration Age = Reader.age("age_ms");
  const auto Grant = decodeGrant(Body);
  if (Reader.isGood() && Grant)
    this->applyGrant(*Grant, Clock::now() - Age);
}

Outcome<json> ReportExchange::onSpillAsk(const json &Body) {
  const auto Asks = decodeAsks(Body);
  if (!Asks)
    return failure(Errc::Malformed);
  const Clock::time_point Now = Clock::now();
  MemberTable &Members = this->State.Control.members();
  const Member &Self = Members.self();
  const auto Config = configOf(this->State);
  if (!Config || !isFresh(this->State, Now) || !Members.isRelay(Now))
    return json::array();
  const std::string Region = regionOf(this->State, Self.Zone);
  std::uint32_t Count = 0;
  for (const std::string &Zone : Members.zones())
    if (regionOf(this->State, Zone) == Region)
      Count += static_cast<std::uint32_t>(Members.relays(Zone, Now).size());
  if (!this->Grantor || Count != this->Granters) {
    this->Grantor =
        std::make_unique<SpillGrantor>(Region, Self.Name, std::max(1U, Count));
    this->Granters = Count;
    for (const Link &Item : Config->Links)
      if (Item.To == Region)
        this->Grantor->setLink(Item.From,
                               static_cast<double>(Item.BitsPerSecond) / 8);
  }
  std::map<std::string, SpillSupply> Supplies;
  for (const InstanceReport *Item : this->recent(Now)) {
    if (Item->Demand.Region != Region)
      continue;
    for (const ServiceHeadroom &Free : Item->Headroom) {
      SpillSupply &Sum = Supplies[Free.Service];
      Sum.Service = Free.Service;
      Sum.FreePerSecond += freePerSecond(Free);
      Sum.Age = std::max(Sum.Age, Now - Item->MadeAt);
    }
  }
  std::vector<SpillSupply> List;
  for (auto &[Service, Sum] : Supplies)
    List.push_back(Sum);
  return encodeGrants(this->Grantor->grant(*Asks, List, Now));
}

asio::awaitable<void> ReportExchange::run() {
  while (!this->Stopping) {
    co_await sleepFor(ReportPeriod);
    const Clock::time_point Now = Clock::now();
    this->take(this->makeOwn(Now), Now);
    this->send(Now);
    if (this->State.Control.members().isRelay(Now)) {
      this->balance(Now);
      this->askForCredits(Now);
    }
  }
}

} // namespace rr
