#include "membership/MemberFetch.h"

#include "membership/MemberTable.h"
#include "membership/MembershipJson.h"
#include "membership/MessageReader.h"

#include <algorithm>

namespace rr {

using nlohmann::json;

json encode(const MemberFetch &Message) {
  return {{"from", encode(Message.From)}, {"zones", Message.Zones}};
}

Outcome<MemberFetch> decodeMemberFetch(const json &Document) {
  MessageReader Reader(Document);
  MemberFetch Result;
  MessageReader From = Reader.object("from");
  Result.From = readMember(From);
  Result.Zones = Reader.names("zones", MemberFetch::MostZones);
  if (!Reader.isGood())
    return failure(Errc::Malformed);
  return Result;
}

json answer(const MemberFetch &Message, MemberTable &Members) {
  Members.merge(Message.From);
  json List = json::array();
  for (const auto &[Name, Entry] : Members.entries()) {
    const bool Wanted = Message.Zones.empty() ||
                        std::find(Message.Zones.begin(), Message.Zones.end(),
                                  Entry.Record.Zone) != Message.Zones.end();
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
