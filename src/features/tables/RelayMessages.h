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

/// Bodies of relay messages. The readers return Errc::Malformed.
std::string encodeRelayQuery(const RelayQuery &Query);
Outcome<RelayQuery> decodeRelayQuery(const std::string &Body);
std::string encodeRelayRows(const TableRows &Rows);
Outcome<TableRows> decodeRelayRows(const std::string &Body);

} // namespace rr

#endif // REDWINGRACK_TABLES_RELAYMESSAGES_H
