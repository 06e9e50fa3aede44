#include "bench/CapacityBench.h"
#include "bench/CapacityFleet.h"
#include "bench/CapacityMeter.h"
#include "bench/CapacityParty.h"
#include "bench/CapacitySeries.h"
#include "membership/MemberFetch.h"
#include "membership/MembershipJson.h"

#include <cstdlib>

namespace rr {

namespace {

using Bytes = std::vector<std::uint8_t>;
using nlohmann::json;

constexpr int Exchanges = 300;
constexpr std::size_t MemberCounts[] = {12, 325, 650, 1300};
constexpr std::size_t ZoneCounts[] = {6, 9, 18, 27};
constexpr std::size_t WorkspaceCounts[] = {8, 32, 128};
// A region of the fleet to come has three or four zones.
constexpr std::size_t SilentZoneCounts[] = {0, 1, 2, 4};
constexpr std::size_t ServiceCounts[] = {3, 12, 48};

// The four parts of one call between two instances.
struct CallCosts {
  CapacityCost AskSent;
  CapacityCost AskTaken;
  CapacityCost AnswerSent;
  CapacityCost AnswerTaken;
};

// Adds the time of Work to Cost and returns its bytes.
template <typename Function> Bytes send(CapacityCost &Cost, Function Work) {
  const auto Start = threadCpu();
  Bytes Result = json::to_cbor(encode(Work()));
  Cost.Cpu += (threadCpu() - Start) / Exchanges;
  Cost.WireBytes = static_cast<std::int64_t>(Result.size());
  return Result;
}

template <typename Message, typename Decoder>
void take(CapacityCost &Cost, CapacityParty &Party, const Bytes &Data,
          Decoder Decode, Clock::time_point Now) {
  const auto Start = threadCpu();
  const Outcome<Message> Read = Decode(json::from_cbor(Data));
  if (!Read)
    std::abort();
  Party.Exchange.receive(*Read, Now);
  Cost.Cpu += (threadCpu() - Start) / Exchanges;
  Cost.WireBytes = static_cast<std::int64_t>(Data.size());
}

// Member Asker calls member Answerer again and again; \p IsZone: zone
// summaries between relays, otherwise a heartbeat with a fleet summary.
CallCosts measureCalls(const CapacityFleet &Fleet, std::size_t Asker,
                       std::size_t Answerer, bool IsZone) {
  CapacityParty From(Fleet, Asker);
  CapacityParty To(Fleet, Answerer);
  const std::string FromName = Fleet.member(Asker).Name;
  const std::string ToName = Fleet.member(Answerer).Name;
  CallCosts Result;
  for (int I = 0; I < Exchanges; ++I) {
    const auto Now = From.StartedAt + std::chrono::milliseconds(I);
    From.setNow(Now);
    To.setNow(Now);
    Bytes Data;
    if (IsZone) {
      Data = send(Result.AskSent,
                  [&] { return From.Exchange.makeZoneSummary(ToName, Now); });
      take<Summary>(Result.AskTaken, To, Data, decodeSummary, Now);
      Data = send(Result.AnswerSent,
                  [&] { return To.Exchange.makeZoneSummary(FromName, Now); });
    } else {
      Data = send(Result.AskSent,
                  [&] { return From.Exchange.makeHeartbeat(ToName, Now); });
      take<Heartbeat>(Result.AskTaken, To, Data, decodeHeartbeat, Now);
      Data = send(Result.AnswerSent,
                  [&] { return To.Exchange.makeFleetSummary(FromName, Now); });
    }
    take<Summary>(Result.AnswerTaken, From, Data, decodeSummary, Now);
  }
  return Result;
}

void measureHeartbeats(const char *Unit, std::vector<CapacityFleet> Fleets,
                       std::size_t CapacityFleet::*Size) {
  CapacitySeries Sent("heartbeat: build and encode", Unit);
  CapacitySeries Taken("heartbeat: decode and take in", Unit);
  CapacitySeries AnswerSent("fleet summary: build and encode", Unit);
  CapacitySeries AnswerTaken("fleet summary: decode and take in", Unit);
  for (const CapacityFleet &Fleet : Fleets) {
    // The last member of the first zone calls the first, which is a relay.
    const std::size_t Last = (Fleet.Members - 1) / Fleet.Zones * Fleet.Zones;
    const CallCosts Costs = measureCalls(Fleet, Last, 0, false);
    Sent.add(Fleet.*Size, Costs.AskSent);
    Taken.add(Fleet.*Size, Costs.AskTaken);
    AnswerSent.add(Fleet.*Size, Costs.AnswerSent);
    AnswerTaken.add(Fleet.*Size, Costs.AnswerTaken);
  }
  Sent.print();
  Taken.print();
  AnswerSent.print();
  AnswerTaken.print();
}

void measureZoneSummaries() {
  CapacitySeries Sent("zone summary: build and encode, 27 zones", "members");
  CapacitySeries Taken("zone summary: decode and take in, 27 zones", "members");
  for (const std::size_t Count : MemberCounts) {
    CapacityFleet Fleet = CapacityFleet::toCome();
    Fleet.Members = Count;
    const CallCosts Costs = measureCalls(Fleet, 0, 1, true);
    Sent.add(Count, Costs.AskSent);
    Taken.add(Count, Costs.AskTaken);
  }
  Sent.print();
  Taken.print();
}

void measureTables() {
  CapacitySeries Table("member table", "members");
  CapacitySeries Fetch("member list: answer to a fetch", "members");
  CapacitySeries Relay("tick of a relay, 20 times a second", "members");
  CapacitySeries Plain("tick of a member, 20 times a second", "members");
  for (const std::size_t Count : MemberCounts) {
    CapacityFleet Fleet = CapacityFleet::toCome();
    Fleet.Members = Count;
    const auto Now = Clock::now();
    Table.add(Count, measureCost([&] {
                auto Result = std::make_unique<MemberTable>(Fleet.member(0));
                Fleet.fill(*Result, Now);
                return Result;
              }));
    CapacityParty First(Fleet, 0);
    MemberFetch Ask;
    Ask.From = Fleet.member(1);
    CapacityCost Cost;
    Cost.Cpu = measureCpu([&] {
      Cost.WireBytes = static_cast<std::int64_t>(
          json::to_cbor(answer(Ask, First.Members)).size());
    });
    Fetch.add(Count, Cost);
    CapacityParty Last(Fleet, Count - 1);
    for (auto *Party : {&First, &Last}) {
      std::uint64_t Turn = 0;
      CapacityCost Cost;
      Cost.Cpu = measureCpu([&] {
        // A member was heard of, so that the proof is worked out anew.
        Party->Members.heard(Fleet.member(2).Name, 1,
                             Party->StartedAt +
                                 std::chrono::nanoseconds(++Turn));
        Party->tick();
      });
      (Party == &First ? Relay : Plain).add(Count, Cost);
    }
  }
  Table.print();
  Fetch.print();
  Relay.print();
  Plain.print();
}

CapacityCost costOfReportSent(const CapacityFleet &Fleet) {
  const auto Now = Clock::now();
  const InstanceReport Report = Fleet.report(0, Now);
  CapacityCost Result;
  Result.Cpu = measureCpu([&] {
    Result.WireBytes = static_cast<std::int64_t>(
        json::to_cbor(encodeReport(Report, Now)).size());
  });
  return Result;
}

CapacityCost costOfReportTaken(const CapacityFleet &Fleet) {
  const auto Now = Clock::now();
  const auto Data = json::to_cbor(encodeReport(Fleet.report(0, Now), Now));
  CapacityCost Result = measureCost(
      [&] { return decodeReport(json::from_cbor(Data), Now).value(); });
  Result.WireBytes = static_cast<std::int64_t>(Data.size());
  return Result;
}

void measureReport(const char *Unit, const std::vector<CapacityFleet> &Fleets,
                   std::size_t CapacityFleet::*Size) {
  CapacitySeries Sent("report: build document, encode", Unit);
  CapacitySeries Taken("report: decode", Unit);
  for (const CapacityFleet &Fleet : Fleets) {
    Sent.add(Fleet.*Size, costOfReportSent(Fleet));
    Taken.add(Fleet.*Size, costOfReportTaken(Fleet));
  }
  Sent.print();
  Taken.print();
}

std::vector<CapacityFleet> fleetsOf(std::span<const std::size_t> Counts,
                                    std::size_t CapacityFleet::*Size) {
  std::vector<CapacityFleet> Result;
  for (const std::size_t Count : Counts) {
    Result.push_back(CapacityFleet::toCome());
    Result.back().*Size = Count;
  }
  return Result;
}

} // namespace

void measureMembershipCapacity() {
  measureTables();
  measureHeartbeats("members", fleetsOf(MemberCounts, &CapacityFleet::Members),
                    &CapacityFleet::Members);
  measureHeartbeats("zones", fleetsOf(ZoneCounts, &CapacityFleet::Zones),
                    &CapacityFleet::Zones);
  measureHeartbeats("workspaces",
                    fleetsOf(WorkspaceCounts, &CapacityFleet::Workspaces),
                    &CapacityFleet::Workspaces);
  measureHeartbeats("zones gone",
                    fleetsOf(SilentZoneCounts, &CapacityFleet::SilentZones),
                    &CapacityFleet::SilentZones);
  measureZoneSummaries();
}

void measureReportCapacity() {
  measureReport("services", fleetsOf(ServiceCounts, &CapacityFleet::Services),
                &CapacityFleet::Services);
  measureReport("workspaces",
                fleetsOf(WorkspaceCounts, &CapacityFleet::Workspaces),
                &CapacityFleet::Workspaces);
  CapacitySeries Again("reports in one message: encode once more", "reports");
  for (const std::size_t Count : {12, 24, 48}) {
    const CapacityFleet Fleet = CapacityFleet::toCome();
    const auto Now = Clock::now();
    json Body = json::array();
    for (std::size_t I = 0; I < Count; ++I)
      Body.push_back(encodeReport(Fleet.report(I, Now), Now));
    CapacityCost Cost;
    Cost.Cpu = measureCpu([&] {
      Cost.WireBytes = static_cast<std::int64_t>(json::to_cbor(Body).size());
    });
    Again.add(Count, Cost);
  }
  Again.print();
}

} // namespace rr
