#ifndef REDWINGRACK_GATEWAY_RESTOREDROWS_H
#define REDWINGRACK_GATEWAY_RESTOREDROWS_H

#include "base/Clock.h"
#include "tables/TableRows.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rr {

/// Follows one table across the eras of the store. When the store comes back
/// from an older copy, keeps the rows of the copy that contradict what is
/// known, until they are written again. All times are on the clock of
/// bootTime().
class RestoredRows {
public:
  /// The operator and the running servers write again what the store lost
  /// within two seconds of its return. The rest covers the start of a read that
  /// was delayed.
  static constexpr Clock::duration RewriteTime =
      std::chrono::milliseconds(2200);

  /// Oldest knowledge of the table by which a row that the copy lacks counts as
  /// lost. Covers an outage of a moment and a polling period in service. A
  /// standby, which reads every 16 s, cannot tell a lost row from one that was
  /// removed before the copy was made.
  static constexpr Clock::duration MaxKnownAge = std::chrono::seconds(5);

  /// Records a whole read that ended at \p Now. True if it is the first one of
  /// a new era; the rows that were held are forgotten then.
  /// Rows that are held and that \p Read lacks were removed.
  bool recordWholeRead(const TableRows &Read, Clock::time_point Now);
  /// Records that all changes up to \p AsOf are known.
  void confirm(Clock::time_point AsOf);

  /// Whether rows that the store lost may still be missing: the changes of the
  /// first RewriteTime of the era are not all known.
  bool isRewriting() const {
    return this->EraBegan && !this->isKnownFor(RewriteTime);
  }
  /// Whether a row that the copy lacks may have been lost, and not removed.
  bool mayHaveLostRows() const { return this->isRewriting() && this->Followed; }
  /// Whether the time to write again is over at \p Now, but the table is not
  /// known up to its end.
  bool isRewriteOver(Clock::time_point Now) const {
    return this->isRewriting() && Now >= *this->EraBegan + RewriteTime;
  }
  /// Whether the changes of the first \p Time of the era are known.
  bool isKnownFor(Clock::duration Time) const {
    return this->EraBegan && this->KnownUntil >= *this->EraBegan + Time;
  }

  void hold(const TableRow &Row);
  /// Whether \p Row is held and has not been written since.
  bool isHeld(const TableRow &Row) const;
  void release(const std::string &Key) { this->Held.erase(Key); }
  std::vector<TableRow> held() const;

private:
  std::optional<std::uint64_t> Era;
  /// Not set in the first era that was seen.
  std::optional<Clock::time_point> EraBegan;
  Clock::time_point KnownUntil{};
  /// The table was followed when the era was first read; see MaxKnownAge.
  bool Followed = false;
  std::map<std::string, TableRow> Held;
};

/// Whether \p Row was certainly written after \p Known, a version of an earlier
/// era. The copy has all numbers of the era before it up to some number, so a
/// higher number than the known one is a later write. A lower one tells
/// nothing, as the store may have given it out again.
bool wasWrittenAfter(const TableRow &Row, StoreVersion Known);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_RESTOREDROWS_H
