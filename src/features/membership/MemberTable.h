#ifndef REDWINGRACK_MEMBERSHIP_MEMBERTABLE_H
#define REDWINGRACK_MEMBERSHIP_MEMBERTABLE_H

#include "membership/MemberEntry.h"
#include "platform/InstanceRecord.h"

#include <map>
#include <string>
#include <vector>

namespace rr {

/// All members that this instance knows of. Members that are gone stay for
/// GoneRetention, so that an old report does not bring them back.
class MemberTable {
public:
  /// In place of the name of a zone: the whole fleet.
  static inline const std::string AllZones;
  static constexpr Clock::duration GoneRetention = std::chrono::hours(1);

  /// \p Self is the member that runs this process.
  explicit MemberTable(Member Self);

  /// Merges a report; returns whether it changed the table.
  bool merge(const Member &Report);
  /// Adds instances of the platform's list. The list lags: it overrides
  /// nothing that peers reported, and an absent instance stays.
  void mergePlatformList(const std::vector<InstanceRecord> &Records);

  /// Raises the time at which the member was heard of (minimum of ages).
  /// Ignored for other incarnations than the known one.
  void heard(const std::string &Name, std::uint64_t Incarnation,
             Clock::time_point At);
  /// Raises the acknowledged versions (maximum of versions).
  void acknowledge(const std::string &Name, std::uint64_t Incarnation,
                   const ControlVersions &Versions);
  void setSynchronised(const std::string &Name, std::uint64_t Incarnation);
  /// The member's host refused a connection while \p Incarnation was known.
  void noteRefused(const std::string &Name, std::uint64_t Incarnation);
  /// An operator declared the member lost; false when it is unknown.
  bool declareLost(const std::string &Name);
  void setOwnState(MemberState State);
  /// Forgets members that have been gone for GoneRetention.
  void prune(Clock::time_point Now);

  const Member &self() const;
  /// Whether others treat this process as gone, so that it must restart with
  /// a new incarnation.
  bool isDisowned() const;
  const MemberEntry *find(const std::string &Name) const;
  const std::map<std::string, MemberEntry> &entries() const {
    return this->Entries;
  }
  /// Members, this one included, that proof B counts; sorted by name.
  const std::vector<const MemberEntry *> &counted() const {
    return this->countedIn(AllZones);
  }
  const std::vector<const MemberEntry *> &
  countedIn(const std::string &Zone) const;
  std::vector<std::string> zones() const;
  /// Live: in state Live and heard of within SilentAfter.
  bool isLive(const MemberEntry &Entry, Clock::time_point Now) const;
  /// The two live members of the zone with the lowest names; filled up with
  /// members that were not heard of, so that a start finds someone to ask.
  std::vector<std::string> relays(const std::string &Zone,
                                  Clock::time_point Now) const;
  bool isRelay(Clock::time_point Now) const;

  /// Digest over names, incarnations and states of the counted members of a
  /// zone.
  const std::string &zoneDigest(const std::string &Zone) const;
  /// The same over the whole fleet.
  const std::string &listDigest() const { return this->zoneDigest(AllZones); }
  /// Rises with each change.
  std::uint64_t revision() const { return this->Revision; }

private:
  MemberEntry *current(const std::string &Name, std::uint64_t Incarnation);
  void recordsChanged();

  std::string SelfName;
  std::uint64_t SelfIncarnation;
  std::map<std::string, MemberEntry> Entries;
  std::uint64_t Revision = 0;
  /// Rebuilt after a change of the records; a relay of 1,300 members asks for
  /// them hundreds of times a second.
  mutable std::map<std::string, std::string> Digests;
  mutable std::map<std::string, std::vector<const MemberEntry *>> ByZone;
};

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_MEMBERTABLE_H
