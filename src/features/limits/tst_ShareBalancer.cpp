#include "limits/Apportion.h"
#include "limits/BorrowPlanner.h"
#include "limits/ShareBalancer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>

using namespace rr;
using namespace std::chrono_literals;

namespace {

constexpr MicroRequests TenRequests = 10 * OneRequest;

/// Report of one member with equal rate and burst, and a half-full bucket.
DemandReport reportOf(const std::string &Name, const std::string &Zone,
                      int Held, int Demand) {
  const MicroRequests Share = Held * OneRequest;
  return {{Name, 1},
          Zone,
          Zone.substr(0, 1),
          1,
          {{"w", {Share, Share, Share / 2}, Demand * OneRequest}}};
}

ShareAllocation epochOf(std::uint64_t Epoch) {
  ShareAllocation Result;
  Result.Epoch = Epoch;
  Result.Workspaces["w"].Total = {100 * OneRequest, 100 * OneRequest, 0};
  return Result;
}

DemandReport *findReport(std::vector<DemandReport> &Reports,
                         const ShareHolder &Holder) {
  const auto Found =
      std::find_if(Reports.begin(), Reports.end(),
                   [&](const DemandReport &R) { return R.Holder == Holder; });
  return &*Found;
}

/// Carries out the moves that the relays of \p Zones request. As in the ledger,
/// givers keep their target share. Returns the number of moves.
std::size_t balance(std::vector<DemandReport> &Reports,
                    const std::vector<std::string> &Zones) {
  std::vector<ShareRelease> Moves;
  for (const std::string &Zone : Zones)
    for (const ShareRelease &Move : planReleases(Reports, Zone, epochOf(1)))
      Moves.push_back(Move);
  for (const ShareRelease &Move : Moves) {
    ShareAmount &From = findReport(Reports, Move.Giver)->Workspaces[0].Held;
    ShareAmount &To = findReport(Reports, Move.Receiver)->Workspaces[0].Held;
    const auto Transfer = [&](MicroRequests ShareAmount::*Field) {
      const MicroRequests Amount = std::clamp(
          From.*Field - Move.Keep.*Field, MicroRequests{0}, Move.Amount.*Field);
      From.*Field -= Amount;
      To.*Field += Amount;
    };
    Transfer(&ShareAmount::Rate);
    Transfer(&ShareAmount::Burst);
  }
  return Moves.size();
}

} // namespace

// Shares must not stay where the demand was.
TEST_CASE("Shares follow demand in one round and are then stable") {
  std::vector<DemandReport> Reports = {
      reportOf("p", "a1", 80, 0), reportOf("q", "a1", 0, 0),
      reportOf("r", "a2", 20, 0), reportOf("s", "b1", 0, 50)};
  const std::vector<std::string> Zones = {"a1", "a2", "b1"};
  REQUIRE(balance(Reports, Zones) > 0);
  const ShareAmount &Busy = Reports[3].Workspaces[0].Held;
  // 90% by demand and a quarter of the remaining 10%.
  CHECK(toRequests(Busy.Rate) == Approx(92.5).margin(1));
  CHECK(toRequests(Busy.Burst) == Approx(92.5).margin(1));
  CHECK(balance(Reports, Zones) == 0);
  Reports[3].Workspaces[0].Demand = 46 * OneRequest;
  Reports[0].Workspaces[0].Demand = 2 * OneRequest;
  CHECK(balance(Reports, Zones) == 0);
}

// Two relays of a zone that act at the same time must not overshoot.
TEST_CASE("Two relays of a zone move a surplus once") {
  std::vector<DemandReport> Reports = {reportOf("p", "a1", 100, 10),
                                       reportOf("q", "b1", 0, 10)};
  balance(Reports, {"a1", "a1", "b1", "b1"});
  CHECK(Reports[0].Workspaces[0].Held.Rate == 50 * OneRequest);
  CHECK(Reports[1].Workspaces[0].Held.Rate == 50 * OneRequest);
}

// Shares must not cross regions while a nearby member has a surplus, and a
// relay must not send requests to members of another zone.
TEST_CASE("A surplus goes to the own zone first") {
  const std::vector<DemandReport> Reports = {
      reportOf("p", "a1", 60, 0), reportOf("q", "a2", 0, 50),
      reportOf("r", "a2", 60, 0), reportOf("s", "a1", 0, 50)};
  const auto Moves = planReleases(Reports, "a1", epochOf(1));
  REQUIRE(Moves.size() == 1);
  CHECK(Moves[0].Giver.Instance == "p");
  CHECK(Moves[0].Receiver.Instance == "s");
}

// No moves must be requested that a giver in another epoch would refuse.
TEST_CASE("Members of another epoch are ignored") {
  std::vector<DemandReport> Reports = {reportOf("p", "a1", 100, 0),
                                       reportOf("q", "a1", 0, 50)};
  Reports[1].Epoch = 2;
  CHECK(planReleases(Reports, "a1", epochOf(1)).empty());
  CHECK(planReleases(Reports, "a1", epochOf(2)).empty());
  Reports[0].Epoch = 2;
  CHECK(planReleases(Reports, "a1", epochOf(2)).size() == 1);
}

// The parts must add up to the total, and small bursts must not be divided into
// parts below a whole request.
TEST_CASE("Allowances are divided completely and in usable parts") {
  const std::vector<double> Weights = {0.3, 0, 5.1, 0.7, 1e-9};
  for (const MicroRequests Total : {0L, 1L, 999'999L, 7'300'001L, MaxAmount}) {
    const auto Parts = apportion(Total, Weights, OneRequest);
    CHECK(std::accumulate(Parts.begin(), Parts.end(), MicroRequests{0}) ==
          Total);
  }
  // Two primary holders for a burst of 17: the current one and the one with the
  // highest demand.
  std::vector<ShareAmount> Held(12);
  Held[3] = {OneRequest, 17 * OneRequest, 0};
  std::vector<double> Demand(12, 1);
  Demand[7] = 10;
  const ShareAmount Total = {2 * OneRequest, 17 * OneRequest, 0};
  const auto Parts =
      divideAllowance(Total, Demand, primaryHolderCount(Total.Burst, 12), Held);
  CHECK(Parts[3].Burst + Parts[7].Burst == Total.Burst);
  CHECK(Parts[3].Rate + Parts[7].Rate == Total.Rate);
  CHECK(Parts[3].Burst >= OneRequest);
  CHECK(primaryHolderCount(5 * OneRequest, 12) == 1);
  const auto Single = divideAllowance(Total, Demand, 1, Held);
  CHECK(Single[3] == Total);
  for (const ShareAmount &Part :
       divideAllowance({TenRequests, 5 * OneRequest, 0}, Demand, 12, Held))
    CHECK((Part.Rate > 0) == (Part.Burst > 0));
}

// Requests must not go to holders without tokens, and an exhausted workspace
// must cause no messages.
TEST_CASE("Lenders with the most tokens are asked, once per report") {
  const Clock::time_point Now{};
  BorrowPlanner Planner({"me", 1}, "a");
  const auto Plan = [&](int Wanted, std::uint64_t Epoch = 1,
                        MicroRequests Gathered = 0) {
    return Planner.plan("w", Epoch, Wanted * OneRequest, OneRequest - Gathered,
                        Gathered, false, Now);
  };
  Planner.update(reportOf("near", "a1", 1, 1), Now);
  CHECK(Plan(1).empty());
  CHECK(Plan(1, 1, OneRequest / 2).size() == 1);
  Planner.update(reportOf("near", "a1", 20, 20), Now - FreshnessLimit);
  CHECK(Plan(1).empty());
  Planner.update(reportOf("me", "a1", 90, 0), Now);
  Planner.update(reportOf("far", "b1", 30, 30), Now);
  Planner.update(reportOf("near", "a1", 20, 20), Now);
  CHECK(Plan(1, 2).empty());
  auto Requests = Plan(8);
  REQUIRE(Requests.size() == 1);
  CHECK(Requests[0].Lender.Instance == "near");
  Requests = Plan(16);
  REQUIRE(Requests.size() == 2);
  CHECK(Requests[0].Lender.Instance == "far");
  CHECK(Requests[1].Wanted == OneRequest);
  CHECK(Plan(1).size() == 1);
  CHECK(Plan(1).empty());
}
