#ifndef REDWINGRACK_PLATFORM_PLATFORMCALLS_H
#define REDWINGRACK_PLATFORM_PLATFORMCALLS_H

#include "base/Clock.h"
#include "platform/Platform.h"

#include <string>
#include <vector>

namespace rr {

/// Makes the delays between attempts repeatable. For tests.
void seedRetryJitter(std::uint64_t Seed);

/// Reads a row; repeats a failed call a bounded number of times with jitter.
asio::awaitable<Outcome<std::optional<Row>>> readRow(const Platform &Store,
                                                     std::string Key);

/// Lists all rows under a prefix, page by page.
asio::awaitable<Outcome<std::vector<Row>>> listRows(const Platform &Store,
                                                    std::string Prefix);

/// Commits a transaction and resolves an unanswered write by reading back
/// \p ProbeKey: the transaction took effect when that row holds exactly the
/// value that the transaction puts there, so this value must be unique (a
/// token, a version with its author). Errc::Conflict when another write won,
/// Errc::Unknown when the store cannot tell in time, Errc::Unavailable when
/// it certainly had no effect.
asio::awaitable<Outcome<void>>
commitVerified(const Platform &Store, Transaction Writes, std::string ProbeKey);

} // namespace rr

#endif // REDWINGRACK_PLATFORM_PLATFORMCALLS_H
