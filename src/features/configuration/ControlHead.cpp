#include "configuration/ControlHead.h"

#include "membership/MembershipJson.h"
#include "membership/MessageReader.h"

namespace rr {

using nlohmann::json;

std::string formatControlHead(const ControlHead &Head) {
  return json{{"versions", encode(Head.Versions)},
              {"config_object", Head.ConfigObject},
              {"config_hash", Head.ConfigHash}}
      .dump();
}

Outcome<ControlHead> parseControlHead(const std::string &Text) {
  const json Document = json::parse(Text, nullptr, false);
  MessageReader Reader(Document);
  ControlHead Result;
  MessageReader Versions = Reader.object("versions");
  Result.Versions = readControlVersions(Versions);
  Result.ConfigObject = Reader.text("config_object");
  Result.ConfigHash = Reader.text("config_hash");
  if (!Reader.isGood())
    return failure(Errc::Malformed);
  return Result;
}

} // namespace rr
