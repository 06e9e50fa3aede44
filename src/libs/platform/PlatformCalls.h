#ifndef REDWINGRACK_PLATFORM_PLATFORMCALLS_H
#define REDWINGRACK_PLATFORM_PLATFORMCALLS_H

#include "base/Clock.h"
#include "platform/Platform.h"

#include <string>
#include <vector>

namespace rr {

/// Makes the random delays between attempts reproducible, for tests.
void seedRetryJitter(std::uint64_t Seed);

/// Reads a row, with up to three attempts and exponential, randomized delays.
/// The result is empty if the row does not exist.
asio::awaitable<Outcome<std::optional<Row>>> readRow(const Platform &Store,
                                                     std::string Key);

/// Lists all rows whose key starts with \p Prefix, page by page.
asio::awaitable<Outcome<std::vector<Row>>> listRows(const Platform &Store,
                                                    std::string Prefix);

/// Commits a transaction. If the answer to a commit is lost, finds out its
/// outcome by reading the row \p ProbeKey: the transaction took effect if that
/// row has exactly the value that the transaction writes, so this value must be
/// unique (a token, a version with its author). Errc::Conflict if another write
/// came first, Errc::Unknown if the row could not be read either,
/// Errc::Unavailable if the transaction had no effect.
asio::awaitable<Outcome<void>>
commitVerified(const Platform &Store, Transaction Writes, std::string ProbeKey);

} // namespace rr

#endif // REDWINGRACK_PLATFORM_PLATFORMCALLS_H
