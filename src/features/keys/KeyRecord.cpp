#include "keys/KeyRecord.h"

#include "membership/MessageReader.h"

namespace rr {

using nlohmann::json;

json encode(const KeyRecord &Record) {
  return {{"hash", toHex(Record.Hash)},
          {"workspace", Record.Workspace},
          {"withdrawn", Record.Withdrawn},
          {"version", Record.Version}};
}

KeyRecord readKeyRecord(MessageReader &Reader) {
  KeyRecord Result;
  const auto Hash = parseKeyHash(Reader.text("hash"));
  if (Hash)
    Result.Hash = *Hash;
  else
    Reader.fail();
  Result.Workspace = Reader.text("workspace");
  Result.Withdrawn = Reader.flag("withdrawn");
  Result.Version = Reader.count("version");
  return Result;
}

Outcome<KeyRecord> parseKeyRecord(const std::string &Text) {
  const json Document = json::parse(Text, nullptr, false);
  MessageReader Reader(Document);
  KeyRecord Result = readKeyRecord(Reader);
  if (!Reader.isGood())
    return failure(Errc::Malformed);
  return Result;
}

} // namespace rr
