#include "membership/MembershipJson.h"

#include "membership/MessageReader.h"

#include <algorithm>
#include <array>

namespace rr {

namespace {

using nlohmann::json;

const std::array<const char *, 5> StateNames = {"live", "leaving", "left",
                                                "ended", "lost"};
constexpr std::size_t DigestBytes = 64;

MemberState readState(MessageReader &Reader) {
  const std::string Text = Reader.text("state");
  const auto Found = std::find(StateNames.begin(), StateNames.end(), Text);
  if (Found == StateNames.end()) {
    Reader.fail();
    return MemberState::Live;
  }
  return static_cast<MemberState>(Found - StateNames.begin());
}

json encode(const PeerHeader &Item) {
  json Result = {
      {"from", encode(Item.From)},   {"number", Item.Number},
      {"echo", Item.Echo},           {"echo_incarnation", Item.EchoIncarnation},
      {"stamp", encode(Item.Stamp)}, {"synchronised", Item.Synchronised},
      {"members", Item.ListDigest}};
  if (Item.Read)
    Result["read"] = {{"age_ms", encodeAge(Item.Read->Age)},
                      {"seen", encode(Item.Read->Seen)}};
  return Result;
}

PeerHeader readHeader(MessageReader &Reader) {
  PeerHeader Result;
  MessageReader From = Reader.object("from");
  Result.From = readMember(From);
  Result.Number = Reader.count("number");
  Result.Echo = Reader.count("echo");
  Result.EchoIncarnation = Reader.count("echo_incarnation");
  MessageReader Stamp = Reader.object("stamp");
  Result.Stamp = readControlStamp(Stamp);
  Result.Synchronised = Reader.flag("synchronised");
  Result.ListDigest = Reader.text("members", DigestBytes);
  if (Reader.has("read")) {
    MessageReader Read = Reader.object("read");
    MessageReader Seen = Read.object("seen");
    Result.Read = HeadRead{Read.age("age_ms"), readControlVersions(Seen)};
  }
  return Result;
}

json encode(const LoadReport &Item) {
  return {{"demand", Item.Demand}, {"headroom", Item.Headroom}};
}

LoadReport readLoad(MessageReader &Reader) {
  LoadReport Result;
  Result.Demand = Reader.numbers("demand", LoadReport::MostItems);
  Result.Headroom = Reader.numbers("headroom", LoadReport::MostItems);
  return Result;
}

json encode(const ZoneStatus::Exception &Item) {
  return {{"name", Item.Name},
          {"age_ms", encodeAge(Item.Age)},
          {"acknowledged", encode(Item.Acknowledged)},
          {"synchronised", Item.Synchronised}};
}

ZoneStatus::Exception readException(MessageReader &Reader) {
  ZoneStatus::Exception Result;
  Result.Name = Reader.name("name");
  Result.Age = Reader.age("age_ms");
  MessageReader Versions = Reader.object("acknowledged");
  Result.Acknowledged = readControlVersions(Versions);
  Result.Synchronised = Reader.flag("synchronised");
  return Result;
}

json encode(const ZoneStatus &Item) {
  json Exceptions = json::array();
  for (const ZoneStatus::Exception &Entry : Item.Exceptions)
    Exceptions.push_back(encode(Entry));
  return {{"zone", Item.Zone},
          {"members", Item.MemberDigest},
          {"oldest_ms", encodeAge(Item.OldestAge)},
          {"acknowledged", encode(Item.Acknowledged)},
          {"exceptions", std::move(Exceptions)},
          {"synchronised", Item.Synchronised},
          {"load", encode(Item.Load)}};
}

ZoneStatus readZoneStatus(MessageReader &Reader) {
  ZoneStatus Result;
  Result.Zone = Reader.text("zone");
  Result.MemberDigest = Reader.text("members", DigestBytes);
  Result.OldestAge = Reader.age("oldest_ms");
  MessageReader Versions = Reader.object("acknowledged");
  Result.Acknowledged = readControlVersions(Versions);
  Result.Exceptions = Reader.list<ZoneStatus::Exception>(
      "exceptions", ZoneStatus::MostExceptions, readException);
  Result.Synchronised = Reader.flag("synchronised");
  MessageReader Load = Reader.object("load");
  Result.Load = readLoad(Load);
  return Result;
}

} // namespace

json encode(const Member &Item) {
  return {{"name", Item.Name},
          {"zone", Item.Zone},
          {"region", Item.Region},
          {"caller_address", Item.CallerAddress},
          {"peer_address", Item.PeerAddress},
          {"incarnation", Item.Incarnation},
          {"state", StateNames[static_cast<std::size_t>(Item.State)]}};
}

json encode(const ControlVersions &Item) {
  return {{"config", Item.Config},
          {"keys", Item.Keys},
          {"share_epoch", Item.ShareEpoch}};
}

json encode(const ControlStamp &Item) {
  return {{"versions", encode(Item.Versions)}, {"pending", Item.PendingDigest}};
}

json encode(const Heartbeat &Message) {
  return {{"header", encode(Message.Header)}, {"load", encode(Message.Load)}};
}

json encode(const Summary &Message) {
  json Zones = json::array();
  for (const ZoneStatus &Zone : Message.Zones)
    Zones.push_back(encode(Zone));
  return {{"header", encode(Message.Header)},
          {"zones", std::move(Zones)},
          {"headroom", Message.Headroom}};
}

Member readMember(MessageReader &Reader) {
  Member Result;
  Result.Name = Reader.name("name");
  Result.Zone = Reader.name("zone");
  Result.Region = Reader.text("region");
  Result.CallerAddress = Reader.text("caller_address");
  Result.PeerAddress = Reader.text("peer_address");
  Result.Incarnation = Reader.count("incarnation");
  Result.State = readState(Reader);
  return Result;
}

ControlVersions readControlVersions(MessageReader &Reader) {
  return {Reader.count("config"), Reader.count("keys"),
          Reader.count("share_epoch")};
}

ControlStamp readControlStamp(MessageReader &Reader) {
  ControlStamp Result;
  MessageReader Versions = Reader.object("versions");
  Result.Versions = readControlVersions(Versions);
  Result.PendingDigest = Reader.text("pending", DigestBytes);
  return Result;
}

Outcome<Member> decodeMember(const json &Document) {
  MessageReader Reader(Document);
  Member Result = readMember(Reader);
  if (!Reader.isGood())
    return failure(Errc::Malformed);
  return Result;
}

Outcome<Heartbeat> decodeHeartbeat(const json &Document) {
  MessageReader Reader(Document);
  Heartbeat Result;
  MessageReader Header = Reader.object("header");
  Result.Header = readHeader(Header);
  MessageReader Load = Reader.object("load");
  Result.Load = readLoad(Load);
  if (!Reader.isGood())
    return failure(Errc::Malformed);
  return Result;
}

Outcome<Summary> decodeSummary(const json &Document) {
  MessageReader Reader(Document);
  Summary Result;
  MessageReader Header = Reader.object("header");
  Result.Header = readHeader(Header);
  Result.Zones =
      Reader.list<ZoneStatus>("zones", Summary::MostZones, readZoneStatus);
  MessageReader Headroom = Reader.object("headroom");
  for (const std::string &Zone : Headroom.keys(Summary::MostZones))
    Result.Headroom[Zone] =
        Headroom.numbers(Zone.c_str(), LoadReport::MostItems);
  if (!Reader.isGood())
    return failure(Errc::Malformed);
  return Result;
}

} // namespace rr
