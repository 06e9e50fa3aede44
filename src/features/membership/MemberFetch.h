#ifndef REDWINGRACK_MEMBERSHIP_MEMBERFETCH_H
#define REDWINGRACK_MEMBERSHIP_MEMBERFETCH_H

#include "base/Outcome.h"
#include "membership/Member.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace rr {

class MemberTable;

/// `fetch` of the members of the zones that differ.
struct MemberFetch {
  static constexpr std::size_t MostZones = 256;
  /// 2,000 members stay below the message bound of 1 MiB.
  static constexpr std::size_t MostMembers = 2000;

  Member From;
  /// MemberTable::zoneDigest() of the sender for each of its zones.
  std::map<std::string, std::string> Known;
};

MemberFetch makeMemberFetch(const MemberTable &Members);
nlohmann::json encode(const MemberFetch &Message);
Outcome<MemberFetch> decodeMemberFetch(const nlohmann::json &Document);

/// Answer to a fetch, members that ended included. The asking member is
/// merged first.
nlohmann::json answer(const MemberFetch &Message, MemberTable &Members);
/// Members of such an answer; the receiver merges them.
Outcome<std::vector<Member>> decodeMemberList(const nlohmann::json &Document);

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_MEMBERFETCH_H
