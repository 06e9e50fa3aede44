#ifndef REDWINGRACK_TABLES_RELAYMESSAGES_H
#define REDWINGRACK_TABLES_RELAYMESSAGES_H

#include "base/Outcome.h"
#include "tables/TableRows.h"

#include <string>

namespace rr {

/// Asks another instance for the changes of a table after a version.
struct RelayQuery {
  std::string Table;
  std::uint64_t After = 0;
};

/// The answer to a query.
struct RelayAnswer {
  TableRows Rows;
  /// From the arrival of the query until all changes were known; negative
  /// when that was before it.
  Clock::duration AsOfOffset{0};
};

/// Bodies of relay messages. The readers return Errc::Malformed.
std::string encodeRelayQuery(const RelayQuery &Query);
Outcome<RelayQuery> decodeRelayQuery(const std::string &Body);
std::string encodeRelayAnswer(const RelayAnswer &Answer);
Outcome<RelayAnswer> decodeRelayAnswer(const std::string &Body);

} // namespace rr

#endif // REDWINGRACK_TABLES_RELAYMESSAGES_H
