#ifndef REDWINGRACK_KEYS_KEYROWS_H
#define REDWINGRACK_KEYS_KEYROWS_H

#include "keys/KeyHash.h"
#include "platform/Platform.h"

#include <cstdint>
#include <string>

namespace rr {

class KeySet;

/// Issues a key. Returns the key set version that has it. Errc::Conflict
/// when the key was issued before, also when it was withdrawn since.
asio::awaitable<Outcome<std::uint64_t>>
issueKey(const Platform &Store, KeyHash Hash, std::string Workspace);

/// Withdraws a key, an unknown one as well, so that it cannot be issued
/// later. Returns the key set version that has the withdrawal, also when it
/// was withdrawn before.
asio::awaitable<Outcome<std::uint64_t>> withdrawKey(const Platform &Store,
                                                    KeyHash Hash);

/// Brings \p Keys up to at least the version \p Target, through the change
/// rows or by reading all keys.
asio::awaitable<Outcome<void>> followKeys(const Platform &Store, KeySet &Keys,
                                          std::uint64_t Target);

/// Writes the withdrawals that \p Keys holds without the store. Any instance
/// may do so at any time; the first one writes, for the others it is done.
/// Returns the number that are in the store now.
asio::awaitable<Outcome<std::size_t>> writePending(const Platform &Store,
                                                   KeySet &Keys);

} // namespace rr

#endif // REDWINGRACK_KEYS_KEYROWS_H
