#include "membership/MemberFetch.h"

#include "membership/MemberTable.h"
#include "membership/MembershipJson.h"
#include "membership/MessageReader.h"

namespace rr {

using nlohmann::json;

MemberFetch makeMemberFetch(const MemberTable &Members) {
  MemberFetch Result;
  Result.From = Members.self();
  for (const std::string &Zone : Members.zones())
    Result.Known[Zone] = Members.zoneDigest(Zone);
  return Result;
}

json encode(const MemberFetch &Message) {
  return {{"from", encode(Message.From)}, {"known", Message.Known}};
}

Outcome<MemberFetch> decodeMemberFetch(const json &Document) {
  MessageReader Reader(Document);
  MemberFetch Result;
  MessageReader From = Reader.object("from");
  Result.From = readMember(From);
  MessageReader Known = Reader.object("known");
  for (const std::string &Zone : Known.keys(MemberFetch::MostZones))
    Result.Known[Zone] = Known.name(Zone.c_str());
  if (!Reader.isGood())
    return failure(Errc::Malformed);
  return Result;
}

json answer(const MemberFetch &Message, MemberTable &Members) {
  Members.merge(Message.From);
  json List = json::array();
  for (const auto &[Name, Entry] : Members.entries()) {
    const auto Known = Message.Known.find(Entry.Record.Zone);
    const bool Wanted = Known == Message.Known.end() ||
                        Known->second != Members.zoneDigest(Entry.Record.Zone);
    if (Wanted && List.size() < MemberFetch::MostMembers)
      List.push_back(encode(Entry.Record));
  }
  return {{"members", std::move(List)}};
}

Outcome<std::vector<Member>> decodeMemberList(const json &Document) {
  MessageReader Reader(Document);
  auto Result =
      Reader.list<Member>("members", MemberFetch::MostMembers, readMember);
  if (!Reader.isGood())
    return failure(Errc::Malformed);
  return Result;
}

} // namespace rr
