#ifndef REDWINGRACK_GATEWAY_LOSTMEMBERROWS_H
#define REDWINGRACK_GATEWAY_LOSTMEMBERROWS_H

#include "base/Clock.h"
#include "steering/MemberRecord.h"
#include "tables/StoreVersion.h"

#include <map>
#include <set>
#include <string>

namespace rr {

/// What is known of rows of instances that the store lost when it came back
/// from an older copy. All times are on the store's clock.
class LostMemberRows {
public:
  using RecordMap = std::map<std::string, MemberRecord>;

  /// Begins a read of the whole table; \p NewEra if it is the first one in an
  /// era of the store.
  void beginRead(bool NewEra);
  /// Whether a row of the copy is older than the known record or removal of its
  /// instance. \p Known is null if there is no record.
  bool isOutdated(const MemberRecord &Row, StoreVersion Version,
                  const MemberRecord *Known);
  /// Records that a row was adopted or removed in the present era.
  void recordRow(const std::string &Name);
  void recordRemoval(const MemberRecord &Last, Clock::duration StoreTime);
  /// Ends the read. Returns those records of \p Before that stay known although
  /// \p Present, the records that were read, lacks them.
  RecordMap endRead(const RecordMap &Before, const RecordMap &Present,
                    Clock::duration StoreTime);

private:
  bool NewEra = false;
  /// Rows that are older than what is known, in the present read.
  std::size_t OlderRows = 0;
  /// Versions in the present era of the rows that are outdated.
  std::map<std::string, StoreVersion> Outdated;
  /// Instances whose rows were not read in the present era.
  std::set<std::string> Missing;
  /// Last records of the instances whose rows were removed.
  RecordMap Removed;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_LOSTMEMBERROWS_H
