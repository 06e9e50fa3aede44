#include "configuration/ConfigMessages.h"

#include "membership/MessageReader.h"

namespace rr {

namespace {

using nlohmann::json;

ConfigAnnouncement readAnnouncement(MessageReader &Reader) {
  ConfigAnnouncement Result;
  Result.Version = Reader.count("version");
  Result.Hash = Reader.name("hash");
  Result.Size = Reader.count("size");
  if (Result.Size > ConfigChunk::MaxConfigBytes)
    Reader.fail();
  return Result;
}

} // namespace

json encode(const ConfigAnnouncement &Message) {
  return {{"version", Message.Version},
          {"hash", Message.Hash},
          {"size", Message.Size}};
}

json encode(const ConfigFetch &Message) {
  return {{"version", Message.Version}, {"offset", Message.Offset}};
}

json encode(const ConfigChunk &Message) {
  return {{"source", encode(Message.Source)},
          {"offset", Message.Offset},
          {"data", Message.Data}};
}

Outcome<ConfigAnnouncement> decodeConfigAnnouncement(const json &Document) {
  MessageReader Reader(Document);
  ConfigAnnouncement Result = readAnnouncement(Reader);
  if (!Reader.isGood())
    return failure(Errc::Malformed);
  return Result;
}

Outcome<ConfigFetch> decodeConfigFetch(const json &Document) {
  MessageReader Reader(Document);
  ConfigFetch Result{Reader.count("version"), Reader.count("offset")};
  if (!Reader.isGood())
    return failure(Errc::Malformed);
  return Result;
}

Outcome<ConfigChunk> decodeConfigChunk(const json &Document) {
  MessageReader Reader(Document);
  ConfigChunk Result;
  MessageReader Source = Reader.object("source");
  Result.Source = readAnnouncement(Source);
  Result.Offset = Reader.count("offset");
  Result.Data = Reader.text("data", ConfigChunk::MaxDataBytes);
  if (!Reader.isGood())
    return failure(Errc::Malformed);
  return Result;
}

} // namespace rr
