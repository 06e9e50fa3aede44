#ifndef REDWINGRACK_STEERING_MEMBERVIEW_H
#define REDWINGRACK_STEERING_MEMBERVIEW_H

#include "base/Clock.h"
#include "steering/MemberRecord.h"
#include "steering/ShareTotals.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rr {

/// The instances that this one knows of, and what follows from that: which
/// of them a caller is sent to, and which part of each sum is this one's.
class MemberView {
public:
  /// The period of the records, the time until they are read, and a margin.
  static constexpr Clock::duration RecordLifetime =
      std::chrono::milliseconds(5200);

  explicit MemberView(std::string Self) : Self(std::move(Self)) {}

  void apply(MemberRecord Record);
  void remove(const std::string &Name);
  void clear();
  /// Advances the estimate of the store's clock.
  void setStoreTime(Clock::duration StoreTime) { this->StoreTime = StoreTime; }
  /// The records were read. After a gap, or for the first time, none is taken
  /// for gone for some seconds, since others may not have been able to renew
  /// theirs.
  void recordRead(Clock::duration StoreTime, bool AfterGap);
  /// Begins the time after a gap anew.
  void restartStoreContact();
  Clock::duration storeContactSince() const { return this->StoreContactSince; }
  /// Whether others, that have read without a gap, take this instance for gone
  /// when its record is old.
  bool isForgottenByOthers() const;
  /// Without the store no record grows old.
  Clock::duration storeTime() const { return this->StoreTime; }

  const std::map<std::string, MemberRecord> &records() const {
    return this->Records;
  }
  /// Names of the instances that wrote lately and do not leave, in order.
  std::vector<std::string> live() const;
  /// Those of live() that are no standbys; only they serve many callers.
  std::vector<std::string> inService() const;
  /// Whether callers are sent to the instance: it is one of the large ones of
  /// its zone, or there are too few of those.
  bool isActive(const MemberRecord &Record) const;
  bool isActive(const std::string &Name) const;
  /// Instances whose share of a sum may still be in use.
  std::size_t shareHolderCount() const;

  /// Addresses for a caller: those of its availability zone, then of its
  /// region, then of \p HomeRegions, then all.
  std::vector<std::string>
  addressesFor(const std::string &Zone, const std::string &Region,
               const std::set<std::string> &HomeRegions,
               std::size_t MaxAddresses) const;

  /// One address of each other instance in service, those of the zone before
  /// those of the rest of the region. Empty addresses are left out.
  std::vector<std::string>
  nearbyAddresses(const std::string &Zone, const std::string &Region,
                  std::string MemberRecord::*Address) const;

  /// The active instance of \p Region that reads \p Table for the others
  /// there; null when it is this one or there is none. The same at all
  /// instances that know the same ones.
  const MemberRecord *tableReader(const std::string &Region,
                                  const std::string &Table) const;

  /// Whether any other instance of the availability zone may serve.
  bool hasOtherInZone(const std::string &Zone) const;
  /// An instance of \p Region that serves callers, chosen so that different
  /// ones that ask are spread; null when there is none.
  const MemberRecord *servingPeer(const std::string &Region) const;

  /// This instance's part of a workspace's rate, 0 to 1. Follows the demand
  /// that the instances have published, this one included, so that the parts
  /// of all add up to one even while demand changes.
  double rateShare(const std::string &Workspace) const;
  /// The parts of all instances of \p Region together.
  double regionShare(const std::string &Workspace,
                     const std::string &Region) const;

  /// The instances that may hold the parts of rates for all of \p Region,
  /// this one perhaps among them; a few, and the same at all instances that
  /// know the same ones.
  std::vector<const MemberRecord *>
  quotaHolders(const std::string &Region) const;

  /// Regions with instances that share sums.
  std::vector<std::string> regions() const;
  /// The region that lacks most of what the instances of \p Region could give
  /// away: whose demand is the largest against its parts. Empty when there is
  /// no other region.
  std::string largestDeficitRegion(const std::string &Workspace, double Rate,
                                   const std::string &Region) const;

  /// Whether this instance is one of the \p Count that may use \p Item.
  bool isAmongTopRanked(std::uint64_t Item, std::size_t Count) const;

private:
  bool isRecent(const MemberRecord &Record, Clock::duration Now) const;
  bool isLive(const MemberRecord &Record) const;
  /// The records were read after a gap a moment ago.
  bool isStoreContactRecent() const;
  /// The record is old, but the instance may not have been able to renew it.
  bool mayReturn(const MemberRecord &Record) const;
  bool mayServe(const MemberRecord &Record) const;
  bool holdsShares(const MemberRecord &Record) const;

  const ShareTotals &shareTotals() const;
  /// Part of \p Count instances with \p Demand requests a second together.
  double computeShare(const std::string &Workspace, double Demand,
                      std::size_t Count) const;

  std::string Self;
  Clock::duration StoreTime{0};
  /// The store's clock at the last read.
  Clock::duration ReadTime{0};
  Clock::duration StoreContactSince{0};
  std::map<std::string, MemberRecord> Records;
  /// Counted when first needed after a change; none before.
  mutable std::optional<ShareTotals> Totals;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_MEMBERVIEW_H
