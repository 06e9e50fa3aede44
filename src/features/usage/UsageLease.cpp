#include "usage/UsageLease.h"

#include "steering/StableHash.h"

#include <algorithm>

namespace rr {

namespace {

/// Time before the end of a lease in which its holder sends nothing: the
/// timeout of a report.
constexpr Clock::duration ActMargin = std::chrono::seconds(1);
/// Added to the duration of a lease before it is claimed: clocks of machines
/// drift, and a write to a socket follows the check of the lease.
constexpr Clock::duration ClaimMargin = std::chrono::milliseconds(500);
/// Wait of each candidate behind the one ranked before it: a write to the store
/// takes up to 250 ms when the store is slow.
constexpr Clock::duration RankDelay = std::chrono::milliseconds(300);
/// Bits of a token below the era of the store: enough for 1,000 writes a second
/// over 34 years. The platform takes tokens below 2^53, which leaves 13 bits,
/// one restore a day over 22 years.
constexpr unsigned EraShift = 40;
constexpr std::uint64_t MaxEraInToken = (1U << 13) - 1;

std::pair<std::uint64_t, std::string> rankScore(const std::string &Name,
                                                const UsageLeaseView &View) {
  return {mixHashes(stableHash(Name), View.Row ? View.Row->Token : 0), Name};
}

/// A number that is not below any token that was claimed up to \p AsOf. A claim
/// raises the store's number and takes a token of at most one above this, and
/// the numbers of an era never reach the next one.
std::uint64_t tokenBase(StoreVersion AsOf) {
  return (std::min(AsOf.Era, MaxEraInToken) << EraShift) + AsOf.Number;
}

bool isHolder(const std::string &Name, const UsageLeaseView &View) {
  return View.Row && View.Row->Holder == Name;
}

} // namespace

bool observeLease(UsageLeaseView &View, const std::optional<UsageLeaseRow> &Row,
                  StoreVersion RowVersion, StoreVersion AsOf,
                  Clock::time_point Now) {
  if (View.Known && AsOf <= View.AsOf)
    return false;
  const bool NewEra = AsOf.Era != View.AsOf.Era;
  const bool Changed = !View.Known || NewEra || RowVersion != View.RowVersion;
  if (NewEra)
    View.EraSince = Now;
  View.Known = true;
  View.AsOf = AsOf;
  if (!Changed)
    return false;
  View.Row = Row;
  View.RowVersion = RowVersion;
  View.SeenSince = Now;
  if (Row) {
    View.HighestToken = std::max(View.HighestToken, Row->Token);
    View.HighestDone = std::max(View.HighestDone, Row->Done);
  }
  return true;
}

bool isOlderThanClaim(const std::optional<UsageLeaseRow> &Row,
                      const HeldUsageLease &Held) {
  if (!Row || Row->Token < Held.Token)
    return true;
  return Row->Token == Held.Token && Row->Holder == Held.Row.Holder &&
         Row->Incarnation == Held.Row.Incarnation;
}

Clock::time_point leaseEnd(const HeldUsageLease &Held,
                           Clock::duration Duration) {
  return Held.SentAt + Duration;
}

bool mayAct(const HeldUsageLease &Held, Clock::duration Duration,
            Clock::time_point Now) {
  const Clock::duration Margin = std::min(ActMargin, Duration / 3);
  return Now < leaseEnd(Held, Duration) - Margin;
}

Clock::time_point claimableFrom(const UsageLeaseView &View,
                                const UsageClaimQuery &Query) {
  if (!View.Known)
    return Clock::time_point::max();
  const Clock::duration Wait = Query.Duration + ClaimMargin;
  Clock::time_point From = View.SeenSince + Wait;
  if (View.Row && View.Row->Released) {
    // A process that started recently does not know whether an earlier one on
    // its machine held the lease.
    From = std::max(View.SeenSince, Query.StartedAt + Query.Duration);
    if (Query.HeldUntil)
      From = std::max(From, *Query.HeldUntil + Query.Duration);
    // The row may be from a copy that is older than the claim of the present
    // holder, also if this instance has read no earlier era.
    if (View.AsOf.Era > 0)
      From = std::max(From, View.EraSince + Wait);
  }
  return From + RankDelay * Clock::rep(Query.Rank) + Query.Penalty;
}

std::size_t claimRank(const std::vector<std::string> &Candidates,
                      const std::string &Self, const UsageLeaseView &View) {
  const auto Own = rankScore(Self, View);
  return std::size_t(std::count_if(
      Candidates.begin(), Candidates.end(), [&](const std::string &Name) {
        return Name != Self && !isHolder(Name, View) &&
               rankScore(Name, View) < Own;
      }));
}

std::vector<std::string> nextCandidates(std::vector<std::string> Candidates,
                                        const UsageLeaseView &View,
                                        std::size_t Count) {
  std::erase_if(Candidates, [&View](const std::string &Name) {
    return isHolder(Name, View);
  });
  const std::size_t Kept = std::min(Count, Candidates.size());
  std::partial_sort(Candidates.begin(),
                    Candidates.begin() + std::ptrdiff_t(Kept), Candidates.end(),
                    [&View](const std::string &Left, const std::string &Right) {
                      return rankScore(Left, View) < rankScore(Right, View);
                    });
  Candidates.resize(Kept);
  return Candidates;
}

UsageLeaseRow makeClaim(const UsageLeaseView &View, const std::string &Name,
                        const std::string &Incarnation,
                        const std::string &PeerAddress, UsageWindow First,
                        UsageWindow Closable) {
  UsageLeaseRow Row;
  if (View.Row) {
    Row = *View.Row;
    // The row may be from a copy that is older than what was seen.
    Row.Done = std::max(Row.Done, View.HighestDone);
  } else {
    Row.First = std::max(First, View.HighestDone + 1);
    Row.Done = Row.First - 1;
  }
  Row.Token = std::max(Row.Token, View.HighestToken);
  // Without a row, or with one that may be from a copy, the tokens that were
  // given out since are known only by the version of the store.
  if (!View.Row || View.AsOf.Era > 0)
    Row.Token = std::max(Row.Token, tokenBase(View.AsOf));
  ++Row.Token;
  if (Row.Era != View.AsOf.Era)
    Row.Done = std::max(Row.Done, Closable);
  Row.Era = View.AsOf.Era;
  Row.Holder = Name;
  Row.Incarnation = Incarnation;
  Row.PeerAddress = PeerAddress;
  Row.Released = false;
  return Row;
}

} // namespace rr
