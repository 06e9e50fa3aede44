#include "limits/ShareLedger.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{};
const ShareHolder A{"a", 1};
const ShareHolder B{"b", 1};

/// Epoch in which A has a rate and burst of \p ShareOfA requests, and B the
/// rest of \p Total.
ShareAllocation epochOf(std::uint64_t Epoch, int ShareOfA, int Total = 10) {
  ShareAllocation Result;
  Result.Epoch = Epoch;
  Result.Holders = {A, B};
  const auto Amount = [](int Requests) {
    return ShareAmount{Requests * OneRequest, Requests * OneRequest, 0};
  };
  Result.Workspaces["w"] = {
      Amount(Total), {{A, Amount(ShareOfA)}, {B, Amount(Total - ShareOfA)}}};
  return Result;
}

/// Ledger that uses \p Allocation, with a full bucket at Start + 20 s and a
/// freshness proof for three seconds from then.
ShareLedger readyLedger(const ShareHolder &Self,
                        const ShareAllocation &Allocation) {
  ShareLedger Ledger(Self, Start);
  REQUIRE(Ledger.adopt(Allocation, Start));
  Ledger.confirmBarrier(Allocation.Epoch, Start);
  Ledger.renewProof(Allocation.Epoch, Start + 23s, Start);
  return Ledger;
}

int admitAll(ShareLedger &Ledger, Clock::time_point Now) {
  int Admitted = 0;
  while (Ledger.tryAdmit("w", Now))
    ++Admitted;
  return Admitted;
}

const Clock::time_point Ready = Start + 20s;

ShareRelease releaseOf(MicroRequests Requests, MicroRequests Keep = 0) {
  const MicroRequests Wanted = Requests * OneRequest;
  return {A, B, 1, "w", {Wanted, Wanted, 0}, {Keep, Keep, 0}};
}

} // namespace

// An instance that was cut off or paused must not admit requests.
TEST_CASE("Shares are unusable without a freshness proof") {
  ShareLedger Ledger = readyLedger(A, epochOf(1, 10));
  const auto Late = Start + 23s;
  CHECK(Ledger.tryAdmit("w", Late).error() == Errc::Stale);
  CHECK(Ledger.release(releaseOf(1), Late).error() == Errc::Stale);
  // A proof for an epoch that is not adopted says nothing about the held
  // shares.
  Ledger.renewProof(2, Late + 3s, Late);
  CHECK(Ledger.tryAdmit("w", Late).error() == Errc::Stale);
  Ledger.renewProof(1, Late + 3s, Late);
  CHECK(admitAll(Ledger, Late) == 10);
  CHECK(Ledger.tryAdmit("none", Late).error() == Errc::NotFound);
}

// A cut-off instance must not accrue tokens at a rate that a new epoch has
// given to others.
TEST_CASE("Nothing accrues while there is no proof") {
  ShareLedger Ledger = readyLedger(A, epochOf(1, 10));
  CHECK(admitAll(Ledger, Start + 23s - 1ns) == 10);
  Ledger.renewProof(1, Start + 60s, Start + 50s);
  CHECK(admitAll(Ledger, Start + 50s) == 0);
  CHECK(admitAll(Ledger, Start + 51s) == 10);
}

// Two instances must not use the same shares at once because the sender keeps
// them or because a duplicated message is added again.
TEST_CASE("A transfer is subtracted first and added once") {
  ShareLedger Giver = readyLedger(A, epochOf(1, 10));
  ShareLedger Taker = readyLedger(B, epochOf(1, 10));
  for (int I = 0; I < 5; ++I)
    REQUIRE(Giver.tryAdmit("w", Ready));
  const auto Grant = Giver.release(releaseOf(4), Ready);
  REQUIRE(Grant);
  CHECK(Grant->Amount ==
        ShareAmount{4 * OneRequest, 4 * OneRequest, 2 * OneRequest});
  CHECK(Taker.receive(*Grant, Ready) == GrantResult::Added);
  CHECK(Taker.receive(*Grant, Ready) == GrantResult::Duplicate);
  CHECK(admitAll(Giver, Ready) == 3);
  CHECK(admitAll(Taker, Ready) == 2);
  CHECK(admitAll(Giver, Ready + 1s) + admitAll(Taker, Ready + 1s) == 10);
}

// A duplicate must be detected even if its sequence number is no longer stored
// individually.
TEST_CASE("A duplicate grant is detected long after the first one") {
  ShareLedger Taker = readyLedger(B, epochOf(1, 10));
  for (std::uint64_t I = 1; I <= 1000; ++I)
    CHECK(Taker.receive({A, B, I, 1, "w", {1, 0, 0}}, Ready) ==
          GrantResult::Added);
  CHECK(Taker.receive({A, B, 1, 1, "w", {1, 0, 0}}, Ready) ==
        GrantResult::Duplicate);
}

// Shares must not be spent twice by an instance that restarted and no longer
// knows what it received, or by one that is missing from the next barrier.
TEST_CASE("Grants are accepted only by the run that the epoch lists") {
  ShareLedger Giver = readyLedger(A, epochOf(1, 10));
  const auto Grant = Giver.release(releaseOf(4), Ready);
  REQUIRE(Grant);
  ShareLedger Restarted = readyLedger({"b", 2}, epochOf(1, 10));
  CHECK(Restarted.receive(*Grant, Ready) == GrantResult::WrongReceiver);
  CHECK(admitAll(Restarted, Ready) == 0);
  ShareRelease Unlisted = releaseOf(1);
  Unlisted.Receiver = {"c", 1};
  CHECK(Giver.release(Unlisted, Ready).error() == Errc::NotFound);
}

// Two relays must not both move the same surplus.
TEST_CASE("A repeated request leaves the giver its wanted share") {
  ShareLedger Giver = readyLedger(A, epochOf(1, 10));
  REQUIRE(Giver.release(releaseOf(4, 6 * OneRequest), Ready));
  CHECK(Giver.release(releaseOf(4, 6 * OneRequest), Ready).error() ==
        Errc::LimitReached);
  CHECK(Giver.held("w", Ready).Rate == 6 * OneRequest);
}

// Increases must not be usable while another instance still uses the same share
// under the old epoch.
TEST_CASE("Decreases apply at once and increases after the barrier") {
  ShareLedger Loser = readyLedger(A, epochOf(1, 8));
  ShareLedger Winner = readyLedger(B, epochOf(1, 8));
  REQUIRE(Loser.adopt(epochOf(2, 3), Ready));
  REQUIRE(Winner.adopt(epochOf(2, 3), Ready));
  Loser.renewProof(2, Ready + 60s, Ready);
  Winner.renewProof(2, Ready + 60s, Ready);
  CHECK(Loser.held("w", Ready).Rate == 3 * OneRequest);
  CHECK(Winner.held("w", Ready + 4s - 1ns).Rate == 2 * OneRequest);
  CHECK(Winner.held("w", Ready + 4s).Rate == 7 * OneRequest);
  CHECK(Winner.held("w", Ready + 4s).Burst == 7 * OneRequest);
}

// A configured rate change must not raise one instance before the others are
// lowered, and the barrier of another epoch must have no effect.
TEST_CASE("A changed rate is lowered first, then raised") {
  ShareLedger Ledger = readyLedger(A, epochOf(1, 5));
  REQUIRE(Ledger.adopt(epochOf(2, 8, 8), Ready));
  CHECK(Ledger.held("w", Ready).Rate == 5 * OneRequest);
  Ledger.confirmBarrier(1, Ready);
  CHECK(Ledger.held("w", Ready).Rate == 5 * OneRequest);
  Ledger.confirmBarrier(2, Ready);
  CHECK(Ledger.held("w", Ready).Rate == 8 * OneRequest);
  REQUIRE(Ledger.adopt(epochOf(3, 2, 4), Ready));
  CHECK(Ledger.held("w", Ready).Rate == 2 * OneRequest);
}

// Transfers of a replaced epoch must not add to the new shares, and those of an
// epoch that is not adopted yet must not be lost.
TEST_CASE("Transfers apply only in their own epoch") {
  ShareLedger Giver = readyLedger(A, epochOf(1, 10));
  ShareLedger Taker = readyLedger(B, epochOf(1, 10));
  const auto Old = Giver.release(releaseOf(2), Ready);
  REQUIRE(Giver.adopt(epochOf(2, 8), Ready));
  Giver.renewProof(2, Ready + 3s, Ready);
  ShareRelease Request = releaseOf(3);
  CHECK(Giver.release(Request, Ready).error() == Errc::Stale);
  Request.Epoch = 2;
  const auto New = Giver.release(Request, Ready);
  REQUIRE((Old && New));
  CHECK(Taker.receive(*New, Ready) == GrantResult::NewerEpoch);
  REQUIRE(Taker.adopt(epochOf(2, 8), Ready));
  CHECK(Taker.receive(*Old, Ready) == GrantResult::OlderEpoch);
  CHECK(Taker.receive(*New, Ready) == GrantResult::Added);
  CHECK(Taker.held("w", Ready).Rate == 3 * OneRequest);
}

// An instance that was paused across an epoch must not bring back tokens and
// shares that others have used since.
TEST_CASE("Nothing is kept across a skipped epoch") {
  ShareLedger Ledger = readyLedger(A, epochOf(1, 10));
  CHECK(Ledger.held("w", Ready).Tokens == 10 * OneRequest);
  REQUIRE(Ledger.adopt(epochOf(3, 10), Ready + 60s));
  Ledger.renewProof(3, Ready + 90s, Ready + 60s);
  CHECK(Ledger.held("w", Ready + 63s).isZero());
  CHECK(Ledger.held("w", Ready + 64s).Burst == 10 * OneRequest);
  CHECK(admitAll(Ledger, Ready + 64s) == 0);
}

// A row from a former lease holder or with invalid shares must not be adopted.
TEST_CASE("Old, fenced and oversubscribed epochs are not adopted") {
  ShareLedger Ledger(A, Start);
  ShareAllocation Row = epochOf(2, 5);
  Row.Fence = 7;
  REQUIRE(Ledger.adopt(Row, Start));
  CHECK(Ledger.adopt(Row, Start).error() == Errc::Stale);
  Row.Epoch = 3;
  Row.Fence = 6;
  CHECK(Ledger.adopt(Row, Start).error() == Errc::Stale);
  Row.Fence = 7;
  Row.Workspaces["w"].Shares[A].Burst += 1;
  CHECK(Ledger.adopt(Row, Start).error() == Errc::Malformed);
  Row = epochOf(3, 5, 5);
  Row.Fence = 7;
  Row.Holders.erase(B);
  CHECK(Ledger.adopt(Row, Start).error() == Errc::Malformed);
  CHECK(Ledger.epoch() == 2);
}

// Small bursts must not be refused because no instance has a whole token: a
// burst of 5 in twelve equal parts is borrowed by one instance.
TEST_CASE("An instance collects whole tokens by borrowing") {
  ShareAllocation Row;
  Row.Epoch = 1;
  WorkspaceAllocation &Workspace = Row.Workspaces["w"];
  Workspace.Total = {2 * OneRequest, 5 * OneRequest, 0};
  std::vector<ShareLedger> Ledgers;
  for (std::uint64_t I = 1; I <= 12; ++I) {
    Row.Holders.insert({"i", I});
    Workspace.Shares[{"i", I}] = {Workspace.Total.Rate / 12,
                                  Workspace.Total.Burst / 12, 0};
  }
  for (std::uint64_t I = 1; I <= 12; ++I)
    Ledgers.push_back(readyLedger({"i", I}, Row));
  ShareLedger &Borrower = Ledgers.front();
  CHECK(admitAll(Borrower, Ready) == 0);
  for (std::size_t I = 1; I < 12; ++I) {
    const BorrowRequest Request{
        Borrower.self(), Ledgers[I].self(), 1, "w", 5 * OneRequest, 0};
    const auto Grant = Ledgers[I].lend(Request, 0, false, Ready);
    REQUIRE(Grant);
    CHECK(Borrower.receive(*Grant, Ready) == GrantResult::Added);
  }
  CHECK(admitAll(Borrower, Ready) == 4);
  // The lenders stay the primary holders: the capacity is returned, and the
  // rate was not lent.
  CHECK(Borrower.held("w", Ready).Rate == Workspace.Total.Rate / 12);
  const auto Back = Borrower.returnBorrowed("w", Ledgers[1].self(),
                                            Workspace.Total.Burst / 12, Ready);
  REQUIRE(Back);
  CHECK(Back->Amount.Burst == Workspace.Total.Burst / 12);
  CHECK(Back->Amount.Tokens < OneRequest / 10);
}

// Two instances must not keep borrowing fractions of a token from each other,
// and a lender must not give away what it needs itself.
TEST_CASE("A lender keeps its reserve, and of two borrowers only one lends") {
  ShareLedger Lender = readyLedger(A, epochOf(1, 10, 100));
  BorrowRequest Request{B, A, 1, "w", 10 * OneRequest, OneRequest / 2};
  CHECK(Lender.lend(Request, 0, true, Ready)->Amount.isZero());
  const auto Grant = Lender.lend(Request, 20 * OneRequest, false, Ready);
  REQUIRE(Grant);
  CHECK(Grant->Amount == ShareAmount{0, 8 * OneRequest, 8 * OneRequest});
  CHECK(Grant->Borrowed);
  Request.Gathered = 3 * OneRequest;
  CHECK(Lender.lend(Request, 0, true, Ready)->Amount.Tokens == 2 * OneRequest);
}

// Shares must not be lost when an instance stops.
TEST_CASE("A leaving instance gives everything to its peers") {
  ShareLedger Leaving = readyLedger(A, epochOf(1, 4));
  ShareLedger Peer = readyLedger(B, epochOf(1, 4));
  const auto Grants = Leaving.releaseAll({A, B, {"c", 1}}, Ready);
  REQUIRE(Grants.size() == 1);
  CHECK(Peer.receive(Grants[0], Ready) == GrantResult::Added);
  CHECK(admitAll(Leaving, Ready) == 0);
  CHECK(admitAll(Peer, Ready) == 10);
}
