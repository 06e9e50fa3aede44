#include "keys/WithdrawalMessages.h"

#include "keys/KeyHashJson.h"
#include "keys/KeySet.h"
#include "membership/FreshnessTracker.h"
#include "membership/MemberTable.h"
#include "membership/MembershipJson.h"
#include "membership/MessageReader.h"

namespace rr {

using nlohmann::json;

json encode(const WithdrawalPush &Message) {
  return {{"from", encode(Message.From)},
          {"hashes", encodeHashes(Message.Hashes)}};
}

json encode(const WithdrawalAck &Message) {
  return {{"from", encode(Message.From)},
          {"hashes", encodeHashes(Message.Hashes)},
          {"members", Message.ListDigest}};
}

Outcome<WithdrawalPush> decodeWithdrawalPush(const json &Document) {
  MessageReader Reader(Document);
  WithdrawalPush Result;
  MessageReader From = Reader.object("from");
  Result.From = readMember(From);
  Result.Hashes = readHashes(Reader, "hashes", KeySet::MostPending);
  if (!Reader.isGood())
    return failure(Errc::Malformed);
  return Result;
}

Outcome<WithdrawalAck> decodeWithdrawalAck(const json &Document) {
  MessageReader Reader(Document);
  WithdrawalAck Result;
  MessageReader From = Reader.object("from");
  Result.From = readMember(From);
  Result.Hashes = readHashes(Reader, "hashes", KeySet::MostPending);
  Result.ListDigest = Reader.name("members");
  if (!Reader.isGood())
    return failure(Errc::Malformed);
  return Result;
}

WithdrawalAck take(const WithdrawalPush &Message, KeySet &Keys,
                   FreshnessTracker &Held, MemberTable &Members) {
  Members.merge(Message.From);
  WithdrawalAck Result;
  withdrawHere(Message.Hashes, Keys, Held);
  for (const KeyHash &Hash : Message.Hashes)
    if (Keys.isWithdrawn(Hash))
      Result.Hashes.push_back(Hash);
  Result.From = Members.self();
  Result.ListDigest = Members.listDigest();
  return Result;
}

Outcome<void> withdrawHere(const std::vector<KeyHash> &Hashes, KeySet &Keys,
                           FreshnessTracker &Held) {
  Outcome<void> Result;
  for (const KeyHash &Hash : Hashes)
    if (const auto Taken = Keys.withdrawPending(Hash); !Taken)
      Result = tl::unexpected<std::error_code>(Taken.error());
  ControlStamp Stamp = Held.held();
  Stamp.PendingDigest = Keys.pendingDigest();
  Held.setHeld(Stamp);
  return Result;
}

} // namespace rr
