#include "keys/KeyFetch.h"

#include "keys/KeyHashJson.h"
#include "keys/KeySet.h"
#include "membership/FreshnessTracker.h"
#include "membership/MemberTable.h"
#include "membership/MembershipJson.h"
#include "membership/MessageReader.h"

namespace rr {

using nlohmann::json;

json encode(const KeyFetch &Message) {
  return {{"from", encode(Message.From)}, {"after", Message.After}};
}

json encode(const KeyFetchAnswer &Message) {
  json Records = json::array();
  for (const KeyRecord &Record : Message.Records)
    Records.push_back(encode(Record));
  return {{"records", std::move(Records)},
          {"last", Message.IsLast},
          {"stamp", encode(Message.Stamp)},
          {"pending", encodeHashes(Message.Pending)},
          {"synchronised", Message.Synchronised}};
}

Outcome<KeyFetch> decodeKeyFetch(const json &Document) {
  MessageReader Reader(Document);
  KeyFetch Result;
  MessageReader From = Reader.object("from");
  Result.From = readMember(From);
  Result.After = Reader.count("after");
  if (!Reader.isGood())
    return failure(Errc::Malformed);
  return Result;
}

Outcome<KeyFetchAnswer> decodeKeyFetchAnswer(const json &Document) {
  MessageReader Reader(Document);
  KeyFetchAnswer Result;
  Result.Records = Reader.list<KeyRecord>(
      "records", KeyFetchAnswer::MostRecords, readKeyRecord);
  Result.IsLast = Reader.flag("last");
  MessageReader Stamp = Reader.object("stamp");
  Result.Stamp = readControlStamp(Stamp);
  Result.Pending = readHashes(Reader, "pending", KeySet::MostPending);
  Result.Synchronised = Reader.flag("synchronised");
  if (!Reader.isGood())
    return failure(Errc::Malformed);
  return Result;
}

KeyFetchAnswer answer(const KeyFetch &Message, const KeySet &Keys,
                      const FreshnessTracker &Held, MemberTable &Members) {
  Members.merge(Message.From);
  KeyFetchAnswer Result;
  Result.Records =
      Keys.changedAfter(Message.After, KeyFetchAnswer::MostRecords);
  Result.IsLast = Result.Records.size() < KeyFetchAnswer::MostRecords;
  Result.Stamp = Held.held();
  Result.Synchronised = Held.isSynchronised();
  if (Result.IsLast)
    Result.Pending.assign(Keys.pending().begin(), Keys.pending().end());
  return Result;
}

Outcome<std::optional<std::uint64_t>>
take(const KeyFetchAnswer &Answer, KeySet &Keys, FreshnessTracker &Held) {
  Keys.merge(Answer.Records);
  if (!Answer.IsLast) {
    if (Answer.Records.empty())
      return failure(Errc::Malformed);
    return std::optional<std::uint64_t>(Answer.Records.back().Version);
  }
  for (const KeyHash &Hash : Answer.Pending)
    if (const auto Taken = Keys.withdrawPending(Hash); !Taken)
      return tl::unexpected<std::error_code>(Taken.error());
  Keys.completeTo(Answer.Stamp.Versions.Keys);
  ControlStamp Stamp = Held.held();
  Stamp.Versions.Keys = Keys.version();
  Stamp.PendingDigest = Keys.pendingDigest();
  Held.setHeld(Stamp);
  Held.noteIncorporated(Answer.Stamp.PendingDigest);
  if (Answer.Synchronised)
    Held.noteSynchronised();
  return std::optional<std::uint64_t>();
}

} // namespace rr
