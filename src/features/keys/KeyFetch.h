#ifndef REDWINGRACK_KEYS_KEYFETCH_H
#define REDWINGRACK_KEYS_KEYFETCH_H

#include "keys/KeyRecord.h"
#include "membership/ControlStamp.h"
#include "membership/Member.h"

#include <cstdint>
#include <vector>

namespace rr {

/// `fetch` of the keys that changed after a version.
struct KeyFetch {
  Member From;
  std::uint64_t After = 0;
};

/// Answer to KeyFetch: changes in the order of their versions. The last part
/// lists all pending withdrawals and has everything that the stamp names.
struct KeyFetchAnswer {
  /// About 150 bytes each, which makes half of the bound of a message.
  static constexpr std::size_t MostRecords = 3500;

  std::vector<KeyRecord> Records;
  bool IsLast = false;
  ControlStamp Stamp;
  std::vector<KeyHash> Pending;
  /// Whether the sender has taken its own state from the store or a peer.
  bool Synchronised = false;
};

nlohmann::json encode(const KeyFetch &Message);
nlohmann::json encode(const KeyFetchAnswer &Message);
Outcome<KeyFetch> decodeKeyFetch(const nlohmann::json &Document);
Outcome<KeyFetchAnswer> decodeKeyFetchAnswer(const nlohmann::json &Document);

class FreshnessTracker;
class KeySet;
class MemberTable;

/// Answers a fetch. The asking member is merged first: a withdrawal that this
/// instance acknowledges later is then pushed to that member as well.
KeyFetchAnswer answer(const KeyFetch &Message, const KeySet &Keys,
                      const FreshnessTracker &Held, MemberTable &Members);

/// Merges an answer. Returns the version to ask for next, or nothing when it
/// was the last part. After the last part of a synchronised sender, whose
/// parts all came from one incarnation, this instance is synchronised too;
/// \p Held is brought up to date.
Outcome<std::optional<std::uint64_t>>
take(const KeyFetchAnswer &Answer, KeySet &Keys, FreshnessTracker &Held);

} // namespace rr

#endif // REDWINGRACK_KEYS_KEYFETCH_H
