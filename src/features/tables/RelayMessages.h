#ifndef REDWINGRACK_TABLES_RELAYMESSAGES_H
#define REDWINGRACK_TABLES_RELAYMESSAGES_H

#include "base/Outcome.h"
#include "tables/TableRows.h"

#include <string>

namespace rr {

/// Query to another instance for the changes of a table after a version.
/// Queries for a whole table ignore it.
struct RelayQuery {
  std::string Table;
  /// Number of the version. The answer names its era, by which the sender of
  /// the query decides whether it continues its rows: earlier releases refuse
  /// queries with further fields.
  std::uint64_t After = 0;
};

/// Answer to a RelayQuery.
struct RelayAnswer {
  TableRows Rows;
  /// Whether the era of the versions is known; earlier releases do not send it.
  bool HasEra = true;
  /// Time up to which the rows are complete, relative to the arrival of the
  /// query; negative if it lies before the arrival. Relative, because the boot
  /// times of two machines cannot be compared.
  Clock::duration AsOfOffset{0};
};

/// Encode and decode the bodies of relay messages. The decoders return
/// Errc::Malformed for invalid input.
std::string encodeRelayQuery(const RelayQuery &Query);
Outcome<RelayQuery> decodeRelayQuery(const std::string &Body);
std::string encodeRelayAnswer(const RelayAnswer &Answer);
Outcome<RelayAnswer> decodeRelayAnswer(const std::string &Body);

} // namespace rr

#endif // REDWINGRACK_TABLES_RELAYMESSAGES_H
