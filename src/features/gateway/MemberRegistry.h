#ifndef REDWINGRACK_GATEWAY_MEMBERREGISTRY_H
#define REDWINGRACK_GATEWAY_MEMBERREGISTRY_H

#include "gateway/LostMemberRows.h"
#include "gateway/SteeringState.h"
#include "tables/StoreClock.h"
#include "tables/TableRows.h"
#include "tables/TableWrite.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace rr {

/// Reads and writes the table through which instances share their records, the
/// secret of their links and the state of version moves.
class MemberRegistry {
public:
  /// Name of the product's own table.
  static constexpr const char *Table = "redwingrack";

  MemberRegistry(SteeringState &State, std::string Incarnation);

  /// Sets the usual time between two reads of the table.
  void setReadPeriod(Clock::duration Period) { this->ReadPeriod = Period; }
  void applySnapshot(const TableRows &Rows);
  void applyChanges(const TableRows &Rows);

  /// Advances the estimate of the store's clock between two reads. The estimate
  /// stops during an outage, so that no record expires then.
  void advanceStoreTime(Clock::time_point Now);

  /// The static part of the record of this instance: names, addresses, location
  /// and capacity.
  MemberRecord ownRecord() const;
  /// The current row of this instance. If the last row of this instance has
  /// expired, the other instances get time to renew theirs too. The write
  /// conflicts if the row changed since ownRowVersion(), so that a write which
  /// the store executes late replaces no newer row.
  TableWrite makeOwnRow(Clock::time_point Now);
  /// Version of the row of this instance in the store as far as it is known;
  /// NoRow if there is no row.
  StoreVersion ownRowVersion() const { return this->OwnRowVersion; }
  /// Adopts the version of the row of this instance from a read of the whole
  /// table.
  void readOwnRowVersion(const TableRows &Rows);
  /// Whether this instance is leaving and a later run has written the row.
  bool isSucceeded() const;
  /// Whether other instances may have redistributed the shares of this one once
  /// its row had expired. Assumed if the view of the others is outdated.
  bool isForgottenByOthers() const;
  /// A new announcement of the present load of this instance. Each is newer
  /// than the one before, also while the store's clock is not known.
  LoadNotice makeLoadNotice();
  /// Whether a row that lists this instance as in service, written by this or
  /// an earlier run, may still be valid. Other instances then reserve quota
  /// shares for it and send callers to it.
  bool isListedInService() const;
  /// Whether this instance should write the secret of the links: if none is
  /// known, or if the store lost the known one when it came back from an older
  /// copy. The leader of the fleet writes it; a lost one also a few others,
  /// since the leader may not know it.
  bool shouldWriteSecret(bool Leader) const;
  /// Row with the known secret for the links between instances, or with a new
  /// one; the write conflicts if another instance changed the row.
  TableWrite makeSecretRow() const;
  void recordSecretWritten(StoreVersion Version);
  /// Row with the state of a move; the write conflicts if another instance
  /// changed the row.
  TableWrite makeMoveRow(const VersionMove &Move) const;

  /// Era of the store in the last read of the whole table.
  std::uint64_t era() const { return this->Era; }
  /// Whether the store came back from an older copy, and this instance has to
  /// write rows that the copy lacks.
  bool hasRowsToWriteAgain() const;
  /// Records that the row of this instance was written as version \p Version
  /// with \p Standby by a call that began at \p Start on bootTime().
  void recordOwnRowWritten(Clock::time_point Start, bool Standby,
                           StoreVersion Version);
  /// Whether this instance should write the state of a move again that the
  /// store lost when it came back from an older copy.
  bool shouldWriteMoveAgain(const std::string &Service, bool Leader) const;
  /// Whether the store has an older state of a move than the known one.
  bool hasLostMoves() const { return !this->LostMoves.empty(); }
  /// Adopts the state of a move from a row of version \p Version, unless a
  /// newer one is known.
  void recordMoveWritten(const VersionMove &Move, StoreVersion Version);

  /// Sets a handler that is called with the name of a service when the reports
  /// of other instances stop the rollout of its new version.
  void onVersionStopped(std::function<void(const std::string &)> Handler) {
    this->VersionStopped = std::move(Handler);
  }

  /// Sets a handler that is called after the whole table was read in a new era
  /// of the store.
  void onRestored(std::function<void()> Handler) {
    this->Restored = std::move(Handler);
  }

private:
  void apply(const TableRow &Row);
  void applyMember(const TableRow &Row);
  void recordOwnRowVersion(const TableRow &Row);
  /// The record of an instance that is known, also during a snapshot; null if
  /// there is none.
  const MemberRecord *findKnown(const std::string &Name) const;
  /// The known record if it replaced \p Row, otherwise \p Row.
  MemberRecord newestOf(MemberRecord Row) const;
  /// Whether this instance is one of the few that write the lost row \p Item.
  bool writesLostRow(std::uint64_t Item) const;
  void applySecret(const TableRow &Row);
  void beginEra();
  void logLostRows() const;
  void applyMove(const TableRow &Row);

  SteeringState &State;
  std::string Incarnation;
  /// During a snapshot: the records that were known before.
  std::map<std::string, MemberRecord> KnownBefore;
  /// Number of rows that this run has made.
  std::uint64_t OwnSequence = 0;
  StoreVersion OwnRowVersion;
  /// Store version up to which OwnRowVersion takes account of all changes.
  StoreVersion OwnRowKnownAt;
  /// Era of the store in which the last row was written.
  std::optional<std::uint64_t> LastRowEra;
  /// The last row that was written lists this instance as in service.
  bool LastRowInService = false;
  /// The store's clock at the last read, and the local time of that read.
  Clock::duration ReadStoreTime{0};
  Clock::time_point ReadAt{};
  Clock::duration ReadPeriod{0};
  /// Store clock time of the last announcement.
  Clock::duration LastNoticeAt{0};
  /// ReadAt on bootTime().
  Clock::time_point ReadAtBoot{};
  /// The store's clock, also while no reads succeed.
  StoreClock StoreTimes;
  /// Versions of the rows with the state of moves, by service.
  std::map<std::string, StoreVersion> MoveVersions;
  /// Services whose known move the store does not have since it came back from
  /// an older copy.
  std::set<std::string> LostMoves;
  std::function<void(const std::string &)> VersionStopped;
  std::uint64_t Era = 0;
  LostMemberRows LostMembers;
  /// NoRow if there is no row with the secret.
  StoreVersion SecretVersion;
  /// The store does not have the known secret since it came back from an older
  /// copy.
  bool SecretLost = false;
  std::function<void()> Restored;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_MEMBERREGISTRY_H
