#ifndef REDWINGRACK_MEMBERSHIP_FRESHNESSTRACKER_H
#define REDWINGRACK_MEMBERSHIP_FRESHNESSTRACKER_H

#include "membership/Evidence.h"
#include "membership/HeadRead.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace rr {

class MemberTable;

/// Decides until when the control state held here may be used.
///
/// Proof A is a read of `control/head` that started at most FreshnessLimit
/// ago. Proof B is word of every counted member that is at most that old.
/// Both count only once everything they refer to is incorporated here.
class FreshnessTracker {
public:
  /// \p Members outlives the tracker.
  explicit FreshnessTracker(MemberTable &Members);

  /// Tells what is incorporated here. To be called after every change.
  void setHeld(const ControlStamp &Stamp);
  const ControlStamp &held() const { return this->Held; }
  /// All pending withdrawals with this digest are incorporated here, besides
  /// others.
  void noteIncorporated(const std::string &PendingDigest);
  /// The state was taken from the store or from a synchronised peer that
  /// counts this incarnation. No proof holds before.
  void noteSynchronised();
  bool isSynchronised() const { return this->Synchronised; }
  /// Whether this process may take the store's state alone for complete:
  /// every other counted member was heard of and none holds any state.
  bool mayStartCold(Clock::time_point Now) const;

  /// A read of the store, here or at a relay, that started at \p Start.
  void noteRead(Clock::time_point Start, const ControlVersions &Seen);
  /// Start of the latest read that is incorporated here.
  std::optional<Clock::time_point> readStart() const;
  /// The same as a member of a message sent at \p Now.
  std::optional<HeadRead> readFor(Clock::time_point Now) const;

  /// Credits the evidence, or keeps it until the state it names is here.
  /// Returns false when that state must be fetched.
  bool offer(Evidence Item);

  /// Whether the stamp names nothing that is missing here.
  bool covers(const ControlStamp &Stamp) const;
  /// The latest time at which the state may be used; the earliest time of
  /// the clock when there is no proof.
  Clock::time_point validUntil() const;
  bool isFresh(Clock::time_point Now) const {
    return Now <= this->validUntil();
  }

private:
  void credit(const Evidence &Item);
  void retry();
  Clock::time_point proofB() const;

  MemberTable &Members;
  ControlStamp Held;
  bool Synchronised = false;
  std::deque<std::string> CoveredDigests;
  std::optional<Clock::time_point> ReadStart;
  ControlVersions ReadSeen;
  std::deque<std::pair<Clock::time_point, ControlVersions>> WaitingReads;
  std::map<std::string, Evidence> Waiting;
  mutable std::optional<std::uint64_t> ProofBRevision;
  mutable Clock::time_point ProofBUntil;
};

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_FRESHNESSTRACKER_H
