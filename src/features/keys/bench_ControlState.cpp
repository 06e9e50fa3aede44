#include "keys/Authentication.h"
#include "keys/KeySet.h"
#include "membership/FreshnessTracker.h"
#include "membership/MemberTable.h"
#include "membership/MembershipJson.h"
#include "membership/PeerExchange.h"

#include <cstdio>
#include <string>

using namespace rr;

namespace {

constexpr int KeyCount = 100000;
constexpr int LookUps = 1000000;
constexpr int Rounds = 200;

double secondsSince(Clock::time_point Start) {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

void measureKeys() {
  std::vector<KeyRecord> Records;
  std::vector<std::string> Presented;
  for (int I = 0; I < KeyCount; ++I) {
    Presented.push_back("key-" + std::to_string(I));
    Records.push_back({hashOfKey(Presented.back()),
                       "workspace" + std::to_string(I % 8), false,
                       std::uint64_t(I) + 1});
  }
  KeySet Keys;
  auto Start = Clock::now();
  Keys.merge(Records);
  Keys.completeTo(KeyCount);
  std::printf("keys %d: load %.1f ms, memory %.2f MB\n", KeyCount,
              1e3 * secondsSince(Start), double(Keys.memoryBytes()) / 1e6);
  const Freshness Proof{Clock::now(), Clock::time_point::max()};
  std::size_t Accepted = 0;
  Start = Clock::now();
  for (int I = 0; I < LookUps; ++I) {
    const auto Result =
        authenticate(Keys, Presented[(I * 7919L) % KeyCount], Proof);
    Accepted += Result.Result == Authentication::Verdict::Accepted;
  }
  std::printf("authenticate (with SHA-256): %.0f ns, %zu accepted\n",
              1e9 * secondsSince(Start) / LookUps, Accepted);
  Accepted = 0;
  Start = Clock::now();
  for (int I = 0; I < LookUps; ++I)
    Accepted += Keys.find(Records[(I * 7919L) % KeyCount].Hash).has_value();
  std::printf("look-up by hash: %.0f ns, %zu found\n",
              1e9 * secondsSince(Start) / LookUps, Accepted);
}

Member makeMember(int Index, int Zones) {
  Member Result;
  Result.Name = "instance-" + std::to_string(10000 + Index);
  Result.Zone = "zone-" + std::to_string(Index % Zones);
  Result.Region = "region-" + std::to_string(Index % Zones % 8);
  Result.CallerAddress = "10.20.30.40:8080";
  Result.PeerAddress = "10.20.30.40:8081";
  Result.Incarnation = 1;
  return Result;
}

std::size_t sizeOf(const nlohmann::json &Message) {
  return nlohmann::json::to_cbor(Message).size();
}

void measureMessages(int Count, int Zones) {
  MemberTable Members(makeMember(0, Zones));
  FreshnessTracker Freshness(Members);
  PeerExchange Exchange(Members, Freshness);
  const auto Now = Clock::now();
  for (int I = 1; I < Count; ++I) {
    Members.merge(makeMember(I, Zones));
    const std::string Name = makeMember(I, Zones).Name;
    Members.heard(Name, 1, Now);
    Members.acknowledge(Name, 1, {4400, 100000, 12});
    Members.setSynchronised(Name, 1);
  }
  Freshness.setHeld({{4400, 100000, 12}, ""});
  Freshness.noteSynchronised();
  Freshness.noteRead(Now, {4400, 100000, 12});
  LoadReport Load;
  for (int I = 0; I < 8; ++I)
    Load.Demand["workspace" + std::to_string(I)] = 123.5;
  for (int I = 0; I < 3; ++I)
    Load.Headroom["service" + std::to_string(I)] = 42;
  Exchange.setLoad(Load);
  Summary Loads;
  Loads.Header.From = makeMember(1, Zones);
  for (int I = 0; I < Zones; ++I) {
    ZoneStatus Status;
    Status.Zone = makeMember(I, Zones).Zone;
    Status.Load = Load;
    Loads.Zones.push_back(Status);
  }
  Exchange.receive(Loads, Now);
  const std::string Peer = makeMember(Zones, Zones).Name;
  const double Heartbeat = sizeOf(encode(Exchange.makeHeartbeat(Peer, Now)));
  const double Zone = sizeOf(encode(Exchange.makeZoneSummary(Peer, Now)));
  const Summary Sample = Exchange.makeFleetSummary(Peer, Now);
  const double Fleet = sizeOf(encode(Sample));
  const int PerZone = Count / Zones;
  const int Relays = 2 * (Zones - 1);
  std::printf("%d members, %d zones: heartbeat %.0f B, zoneSummary %.0f B, "
              "fleetSummary %.0f B\n",
              Count, Zones, Heartbeat, Zone, Fleet);
  // A member calls two relays. A relay exchanges a call with the other relay
  // of its zone and with each member, and one with each relay elsewhere.
  std::printf("  member: %d messages/s, %.1f KB/s\n", 4,
              2 * (Heartbeat + Fleet) / 1e3);
  std::printf("  relay: %d messages/s, %.1f KB/s (both directions)\n",
              2 * PerZone + 2 * Relays,
              (PerZone * (Heartbeat + Fleet) + 2 * Relays * Zone) / 1e3);
  auto Start = Clock::now();
  for (int I = 0; I < Rounds; ++I)
    sizeOf(encode(Exchange.makeFleetSummary(Peer, Now)));
  std::printf("  build and encode a fleetSummary: %.0f us\n",
              1e6 * secondsSince(Start) / Rounds);
  const auto Bytes = nlohmann::json::to_cbor(encode(Sample));
  Start = Clock::now();
  for (int I = 0; I < Rounds; ++I)
    Exchange.receive(*decodeSummary(nlohmann::json::from_cbor(Bytes)), Now);
  std::printf("  decode and take a fleetSummary: %.0f us\n",
              1e6 * secondsSince(Start) / Rounds);
  const auto Heard = Members.revision();
  Start = Clock::now();
  for (int I = 0; I < Rounds; ++I) {
    Members.heard(Peer, 1, Now + std::chrono::nanoseconds(I + 1));
    static_cast<void>(Freshness.validUntil());
  }
  std::printf("  validUntil after a change: %.1f us (%llu changes)\n",
              1e6 * secondsSince(Start) / Rounds,
              static_cast<unsigned long long>(Members.revision() - Heard));
}

} // namespace

int main() {
  measureKeys();
  measureMessages(12, 6);
  measureMessages(1300, 27);
}
