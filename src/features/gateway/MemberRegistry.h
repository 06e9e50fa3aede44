#ifndef REDWINGRACK_GATEWAY_MEMBERREGISTRY_H
#define REDWINGRACK_GATEWAY_MEMBERREGISTRY_H

#include "gateway/SteeringState.h"
#include "tables/TableRows.h"
#include "tables/TableWrite.h"

#include <functional>
#include <map>
#include <string>

namespace rr {

/// Reads and writes what the instances tell each other through the platform's
/// table: who they are, what they see, and how far moves have come.
class MemberRegistry {
public:
  /// Table of the product's own.
  static constexpr const char *Table = "redwingrack";

  MemberRegistry(SteeringState &State, std::string Incarnation);

  /// Time between two reads while nothing is wrong.
  void setReadPeriod(Clock::duration Period) { this->ReadPeriod = Period; }
  void applySnapshot(const TableRows &Rows);
  void applyChanges(const TableRows &Rows);

  /// Lets the estimate of the store's clock run on between two reads, but not
  /// through an outage.
  void advanceStoreTime(Clock::time_point Now);

  /// Name, place and size of this instance, as the others see them.
  MemberRecord ownRecord() const;
  /// This instance's row. When the last one has grown old, the others are
  /// given time to renew theirs.
  TableWrite makeOwnRow(Clock::time_point Now);
  /// The others may count on this instance, or send callers to it, by a row
  /// that it has written or that an earlier run left.
  bool isListedInService() const;
  /// A new secret for the links between instances, if there is none yet.
  TableWrite makeSecretRow() const;
  /// The row with the state of a move, under the condition that nobody has
  /// changed it.
  TableWrite makeMoveRow(const VersionMove &Move) const;

  /// This instance's row, as a standby's or not, was written by a call that
  /// began at \p Start on bootTime().
  void recordOwnRowWritten(Clock::time_point Start, bool Standby);
  /// Takes a row that this instance has just written.
  void recordMoveWritten(const VersionMove &Move, std::uint64_t Version);

  void onVersionStopped(std::function<void(const std::string &)> Handler) {
    this->VersionStopped = std::move(Handler);
  }

private:
  void apply(const TableRow &Row);
  void applyMember(const TableRow &Row);
  void applyMove(const TableRow &Row);

  SteeringState &State;
  std::string Incarnation;
  /// The last row that was written says that this instance is in service.
  bool LastRowInService = false;
  /// The store's clock at the last read, and when that was.
  Clock::duration ReadStoreTime{0};
  Clock::time_point ReadAt{};
  Clock::duration ReadPeriod{0};
  /// The same on bootTime().
  Clock::time_point ReadAtBoot{};
  /// By service.
  std::map<std::string, std::uint64_t> MoveVersions;
  std::function<void(const std::string &)> VersionStopped;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_MEMBERREGISTRY_H
