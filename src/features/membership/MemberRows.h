#ifndef REDWINGRACK_MEMBERSHIP_MEMBERROWS_H
#define REDWINGRACK_MEMBERSHIP_MEMBERROWS_H

#include "membership/Member.h"
#include "platform/Platform.h"

#include <vector>

namespace rr {

/// Rows `members/<instance>` that can be read; rows that are malformed are
/// left out. Errors of the store are passed on.
asio::awaitable<Outcome<std::vector<Member>>>
readMemberRows(const Platform &Store);

/// Merges a member into its row. A row that already holds a newer report
/// stays. Errc::Conflict when another writer won; the caller may repeat.
asio::awaitable<Outcome<void>> writeMemberRow(const Platform &Store,
                                              Member Report);

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_MEMBERROWS_H
