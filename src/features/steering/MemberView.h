#ifndef REDWINGRACK_STEERING_MEMBERVIEW_H
#define REDWINGRACK_STEERING_MEMBERVIEW_H

#include "base/Clock.h"
#include "steering/LoadNotice.h"
#include "steering/MemberRecord.h"
#include "steering/ShareTotals.h"
#include "steering/StandbyRule.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rr {

/// The known instances of the fleet. Derives the addresses announced to
/// callers, and this instance's share of each fleet-wide limit.
class MemberView {
public:
  /// Sum of the write period, the time until the record is read, and a margin.
  static constexpr Clock::duration RecordLifetime =
      std::chrono::milliseconds(5200);

  explicit MemberView(std::string Self) : Self(std::move(Self)) {}

  void apply(MemberRecord Record);
  /// Applies an announcement of another instance or of this one. Returns false,
  /// and changes nothing, if its instance is unknown or a newer announcement or
  /// row of it is known.
  bool apply(const LoadNotice &Notice);
  void remove(const std::string &Name);
  void clear();
  /// Advances the estimate of the store's clock.
  void setStoreTime(Clock::duration StoreTime) { this->StoreTime = StoreTime; }
  /// Records that all rows were read at \p StoreTime. After a gap, or at the
  /// first read, no record expires for some seconds, since other instances may
  /// not have been able to renew theirs.
  void recordRead(Clock::duration StoreTime, bool AfterGap);
  /// Restarts the period after a read gap in which records do not expire.
  void restartStoreContact();
  Clock::duration storeContactSince() const { return this->StoreContactSince; }
  /// Whether an instance that has read without a gap would treat this one as
  /// gone once its record expires.
  bool isForgottenByOthers() const;
  /// Estimated store time. It stops while the store is unavailable, so that no
  /// record expires then.
  Clock::duration storeTime() const { return this->StoreTime; }

  const std::map<std::string, MemberRecord> &records() const {
    return this->Records;
  }
  /// Sorted names of the instances with a current record that are not leaving.
  std::vector<std::string> live() const;
  /// Names of the live instances that are not standbys.
  std::vector<std::string> inService() const;
  /// Whether callers are sent to the instance: it is one of the large instances
  /// of its zone, or the zone has too few of them.
  bool isActive(const MemberRecord &Record) const;
  bool isActive(const std::string &Name) const;
  /// Number of instances that may still use a share of the fleet-wide limits.
  std::size_t shareHolderCount() const;

  /// At most \p MaxAddresses addresses for a caller: from its availability
  /// zone, otherwise its region, then \p HomeRegions, then all. Overloaded
  /// instances are left out while others of the zone or region can be named.
  std::vector<std::string>
  addressesFor(const std::string &Zone, const std::string &Region,
               const std::set<std::string> &HomeRegions,
               std::size_t MaxAddresses) const;

  /// Load of the instances in service of an availability zone.
  ZoneLoad zoneLoad(const std::string &Zone) const;

  /// \p Address of each other serving instance of the region, those of the zone
  /// first. Empty addresses are left out.
  std::vector<std::string>
  nearbyAddresses(const std::string &Zone, const std::string &Region,
                  std::string MemberRecord::*Address) const;

  /// The active instance of \p Region that reads \p Table on behalf of the
  /// region; null when it is this instance or there is none. Instances with the
  /// same records choose the same reader.
  const MemberRecord *tableReader(const std::string &Region,
                                  const std::string &Table) const;

  /// Whether another instance of the availability zone may be serving.
  bool hasOtherInZone(const std::string &Zone) const;
  /// An instance of \p Region that serves callers; null when there is none. The
  /// choice depends on this instance's name, to spread the load.
  const MemberRecord *servingPeer(const std::string &Region) const;

  /// This instance's share of a workspace's rate, 0 to 1. Computed only from
  /// published demand, including its own, so that all shares add up to one
  /// while demand changes.
  double rateShare(const std::string &Workspace) const;
  /// Total share of all instances of \p Region.
  double regionShare(const std::string &Workspace,
                     const std::string &Region) const;

  /// The few instances that may hold tokens on behalf of \p Region, possibly
  /// including this one. Instances with the same records choose the same
  /// holders.
  std::vector<const MemberRecord *>
  quotaHolders(const std::string &Region) const;

  /// Regions with instances that hold shares of the fleet-wide limits.
  std::vector<std::string> regions() const;
  /// The region other than \p Region whose demand exceeds its share of \p Rate
  /// the most. Empty when there is no other region.
  std::string largestDeficitRegion(const std::string &Workspace, double Rate,
                                   const std::string &Region) const;

  /// Whether this instance is among the \p Count highest ranked for the hash \p
  /// Item.
  bool isAmongTopRanked(std::uint64_t Item, std::size_t Count) const;
  /// The same, with the instances of \p Region ranked before all others.
  bool isAmongTopRanked(std::uint64_t Item, std::size_t Count,
                        const std::string &Region,
                        const std::string &OwnRegion) const;

private:
  bool isRecent(const MemberRecord &Record, Clock::duration Now) const;
  bool isLive(const MemberRecord &Record) const;
  /// Whether the last read gap ended only recently.
  bool isStoreContactRecent() const;
  /// Whether the record may be old only because its instance could not renew it
  /// during the read gap.
  bool mayReturn(const MemberRecord &Record) const;
  /// Whether look-ups may name the instance. \p ZoneOverloaded says whether an
  /// instance of its zone is overloaded, so that smaller ones are named too.
  bool isNameable(const MemberRecord &Record, bool ZoneOverloaded) const;
  bool mayServe(const MemberRecord &Record) const;
  bool holdsShares(const MemberRecord &Record) const;

  const ShareTotals &shareTotals() const;
  /// Share of \p Count instances with a total demand of \p Demand requests per
  /// second.
  double computeShare(const std::string &Workspace, double Demand,
                      std::size_t Count) const;

  std::string Self;
  Clock::duration StoreTime{0};
  /// Store time of the last read.
  Clock::duration ReadTime{0};
  Clock::duration StoreContactSince{0};
  std::map<std::string, MemberRecord> Records;
  /// Announcements that are newer than the row of their instance, by name.
  std::map<std::string, LoadNotice> Notices;
  /// Cached totals; reset when the records change.
  mutable std::optional<ShareTotals> Totals;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_MEMBERVIEW_H
