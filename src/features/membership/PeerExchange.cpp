#include "membership/PeerExchange.h"

#include "membership/FreshnessTracker.h"
#include "membership/MemberTable.h"
#include "membership/Timing.h"

#include <algorithm>

namespace rr {

namespace {

bool isSelf(const MemberTable &Members, const std::string &Name) {
  return Name == Members.self().Name;
}

} // namespace

PeerExchange::PeerExchange(MemberTable &Members, FreshnessTracker &Freshness)
    : Members(Members), Freshness(Freshness) {}

PeerExchange::Link &PeerExchange::linkTo(const std::string &Name) {
  Link &Result = this->Links[Name];
  const MemberEntry *Entry = this->Members.find(Name);
  const std::uint64_t Incarnation = Entry ? Entry->Record.Incarnation : 0;
  if (Result.Incarnation != Incarnation)
    Result = {Incarnation, LinkClock()};
  return Result;
}

PeerHeader PeerExchange::makeHeader(const std::string &To,
                                    Clock::time_point Now) {
  Link &Target = this->linkTo(To);
  PeerHeader Result;
  Result.From = this->Members.self();
  Result.Number = Target.Timing.next(Now);
  Result.Echo = Target.Timing.echo();
  Result.EchoIncarnation = Target.Incarnation;
  Result.Stamp = this->Freshness.held();
  Result.Synchronised = this->Freshness.isSynchronised();
  Result.ListDigest = this->Members.listDigest();
  Result.Read = this->Freshness.readFor(Now);
  return Result;
}

Heartbeat PeerExchange::makeHeartbeat(const std::string &To,
                                      Clock::time_point Now) {
  return {this->makeHeader(To, Now), this->OwnLoad};
}

Summary PeerExchange::makeZoneSummary(const std::string &To,
                                      Clock::time_point Now) {
  Summary Result;
  Result.Header = this->makeHeader(To, Now);
  Result.Zones.push_back(this->makeZoneStatus(this->Members.self().Zone, Now));
  return Result;
}

Summary PeerExchange::makeFleetSummary(const std::string &To,
                                       Clock::time_point Now) {
  Summary Result;
  Result.Header = this->makeHeader(To, Now);
  Result.Zones.push_back(this->makeZoneStatus(MemberTable::AllZones, Now));
  for (const std::string &Zone : this->Members.zones()) {
    auto Headroom = this->loadOf(Zone, Now).Headroom;
    if (!Headroom.empty())
      Result.Headroom[Zone] = std::move(Headroom);
  }
  return Result;
}

ZoneStatus PeerExchange::makeZoneStatus(const std::string &Zone,
                                        Clock::time_point Now) const {
  ZoneStatus Result;
  Result.Zone = Zone;
  Result.MemberDigest = this->Members.zoneDigest(Zone);
  Result.Load = this->loadOf(Zone, Now);
  std::vector<ZoneStatus::Exception> All;
  ControlVersions Highest;
  for (const MemberEntry *Entry : this->Members.countedIn(Zone)) {
    ZoneStatus::Exception Item{Entry->Record.Name, std::chrono::hours(24),
                               Entry->Acknowledged, Entry->Synchronised};
    if (isSelf(this->Members, Item.Name)) {
      Item.Age = Clock::duration::zero();
      Item.Acknowledged = this->Freshness.held().Versions;
    } else if (Entry->HeardAt != Clock::time_point::min()) {
      Item.Age = Now - Entry->HeardAt;
    }
    Highest = maximumOf(Highest, Item.Acknowledged);
    Result.Synchronised = Result.Synchronised || Item.Synchronised;
    All.push_back(std::move(Item));
  }
  // The oldest ones come first, so that they are named when there are many.
  std::sort(All.begin(), All.end(), [](const auto &Left, const auto &Right) {
    return Left.Age > Right.Age ||
           (Left.Age == Right.Age && Left.Name < Right.Name);
  });
  bool AnyPlain = false;
  for (ZoneStatus::Exception &Item : All) {
    const bool IsException = Item.Age > SilentAfter ||
                             !Item.Acknowledged.covers(Highest) ||
                             Item.Synchronised != Result.Synchronised;
    if (IsException && Result.Exceptions.size() < ZoneStatus::MostExceptions) {
      Result.Exceptions.push_back(std::move(Item));
      continue;
    }
    Result.OldestAge = std::max(Result.OldestAge, Item.Age);
    Result.Acknowledged =
        AnyPlain ? minimumOf(Result.Acknowledged, Item.Acknowledged)
                 : Item.Acknowledged;
    AnyPlain = true;
  }
  return Result;
}

MessageGap PeerExchange::receive(const Heartbeat &Message,
                                 Clock::time_point Now) {
  const MessageGap Result = this->take(Message.Header, {}, Now);
  const std::string &Sender = Message.Header.From.Name;
  if (this->Members.find(Sender))
    this->MemberLoads[Sender] = {Now, Message.Load};
  return Result;
}

MessageGap PeerExchange::receive(const Summary &Message,
                                 Clock::time_point Now) {
  MessageGap Result = this->take(Message.Header, Message.Zones, Now);
  for (const ZoneStatus &Zone : Message.Zones)
    if (Zone.Zone != MemberTable::AllZones)
      this->ZoneLoads[Zone.Zone] = {Now, Zone.Load};
  if (this->Members.isRelay(Now))
    return Result;
  for (const auto &[Zone, Headroom] : Message.Headroom)
    this->ZoneLoads[Zone] = {Now, {{}, Headroom}};
  return Result;
}

MessageGap PeerExchange::take(const PeerHeader &Header,
                              const std::vector<ZoneStatus> &Zones,
                              Clock::time_point Now) {
  MessageGap Result;
  this->Members.merge(Header.From);
  const MemberEntry *Entry = this->Members.find(Header.From.Name);
  // A message of a former process of the same name proves nothing.
  if (!Entry || Entry->Record.Incarnation != Header.From.Incarnation ||
      isSelf(this->Members, Header.From.Name))
    return Result;
  this->Members.acknowledge(Header.From.Name, Header.From.Incarnation,
                            Header.Stamp.Versions);
  if (Header.Synchronised)
    this->Members.setSynchronised(Header.From.Name, Header.From.Incarnation);
  Link &Source = this->linkTo(Header.From.Name);
  Source.Timing.received(Header.Number);
  Result.State = !this->Freshness.covers(Header.Stamp);
  Result.Members = Header.ListDigest != this->Members.listDigest();
  if (Header.EchoIncarnation != this->Members.self().Incarnation)
    return Result;
  const auto SentAt = Source.Timing.sentAfter(Header.Echo);
  if (!SentAt)
    return Result;
  if (Header.Read) {
    this->Freshness.noteRead(*SentAt - Header.Read->Age, Header.Read->Seen);
    if (Header.Read->Age <= OutageAfter)
      this->RelayReadAt = Now;
  }
  this->Freshness.offer({Header.From.Name, Header.From.Incarnation, *SentAt,
                         Header.Stamp, Zones});
  return Result;
}

std::vector<std::string>
PeerExchange::heartbeatTargets(Clock::time_point Now) const {
  auto Result = this->Members.relays(this->Members.self().Zone, Now);
  std::erase(Result, this->Members.self().Name);
  return Result;
}

std::vector<std::string>
PeerExchange::zoneSummaryTargets(Clock::time_point Now) const {
  std::vector<std::string> Result;
  if (!this->Members.isRelay(Now))
    return Result;
  for (const std::string &Zone : this->Members.zones()) {
    if (Zone == this->Members.self().Zone)
      continue;
    // The answer carries the other direction, so one of the two calls.
    for (const std::string &Relay : this->Members.relays(Zone, Now))
      if (this->Members.self().Name < Relay)
        Result.push_back(Relay);
  }
  return Result;
}

Clock::duration PeerExchange::period(Clock::time_point Now) const {
  const auto Start = this->Freshness.readStart();
  const bool OwnRecent = Start && Now - *Start <= OutageAfter;
  // A member's own proof is older by the interval of its relay's messages.
  const bool RelayRecent = this->RelayReadAt != Clock::time_point::min() &&
                           Now - this->RelayReadAt <= OutageAfter;
  return OwnRecent || RelayRecent ? HeartbeatPeriod : OutageHeartbeatPeriod;
}

Clock::duration PeerExchange::headReadPeriod(Clock::time_point Now) const {
  if (this->Members.isRelay(Now))
    return HeadReadPeriod;
  const auto Start = this->Freshness.readStart();
  if (Start && Now - *Start <= FallbackReadPeriod)
    return Clock::duration::zero();
  return FallbackReadPeriod;
}

std::vector<Member> PeerExchange::membersToProbe(Clock::time_point Now) const {
  std::vector<Member> Result;
  if (!this->Members.isRelay(Now))
    return Result;
  for (const MemberEntry *Entry :
       this->Members.countedIn(this->Members.self().Zone))
    if (!isSelf(this->Members, Entry->Record.Name) &&
        Entry->HeardAt < Now - HeartbeatPeriod - OutageAfter)
      Result.push_back(Entry->Record);
  return Result;
}

LoadReport PeerExchange::ownZoneLoad(Clock::time_point Now) const {
  LoadReport Sum = this->OwnLoad;
  for (const auto &[Name, Item] : this->MemberLoads) {
    const MemberEntry *Entry = this->Members.find(Name);
    if (Entry && Entry->Record.Zone == this->Members.self().Zone &&
        Now - Item.At <= SilentAfter)
      addTo(Sum, Item.Load);
  }
  return Sum;
}

LoadReport PeerExchange::loadOf(const std::string &Zone,
                                Clock::time_point Now) const {
  if (Zone == this->Members.self().Zone && this->Members.isRelay(Now))
    return this->ownZoneLoad(Now);
  const auto Found = this->ZoneLoads.find(Zone);
  if (Found == this->ZoneLoads.end() || Now - Found->second.At > SilentAfter)
    return {};
  return Found->second.Load;
}

} // namespace rr
