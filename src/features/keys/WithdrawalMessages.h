#ifndef REDWINGRACK_KEYS_WITHDRAWALMESSAGES_H
#define REDWINGRACK_KEYS_WITHDRAWALMESSAGES_H

#include "keys/KeyHash.h"
#include "membership/Member.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace rr {

/// `controlUpdate`: keys that are withdrawn, in the store or not.
struct WithdrawalPush {
  Member From;
  std::vector<KeyHash> Hashes;
};

/// Answer: the sender refuses these keys from now on.
struct WithdrawalAck {
  Member From;
  std::vector<KeyHash> Hashes;
  /// MemberTable::listDigest() of the sender. A differing one means that it
  /// may know members to whom the withdrawal was not pushed.
  std::string ListDigest;
};

nlohmann::json encode(const WithdrawalPush &Message);
nlohmann::json encode(const WithdrawalAck &Message);
Outcome<WithdrawalPush> decodeWithdrawalPush(const nlohmann::json &Document);
Outcome<WithdrawalAck> decodeWithdrawalAck(const nlohmann::json &Document);

class KeySet;
class FreshnessTracker;
class MemberTable;

/// Takes a push in; the answer lists what is refused here from now on.
WithdrawalAck take(const WithdrawalPush &Message, KeySet &Keys,
                   FreshnessTracker &Held, MemberTable &Members);

/// Withdraws keys here without the store and brings \p Held up to date.
/// Errc::LimitReached when too many wait for the store already.
Outcome<void> withdrawHere(const std::vector<KeyHash> &Hashes, KeySet &Keys,
                           FreshnessTracker &Held);

} // namespace rr

#endif // REDWINGRACK_KEYS_WITHDRAWALMESSAGES_H
