#include "settings/SettingsFile.h"

#include "settings/TomlReader.h"

#include <fstream>
#include <sstream>

namespace rr {

namespace {

constexpr std::size_t ShortestPeerSecret = 16;
constexpr std::size_t Sha256HexLength = 64;

/// Reads a whole settings document, section by section.
class DocumentReader {
public:
  DocumentReader(const toml::table &Document, const std::string &File,
                 Diagnostics &Found)
      : Document(Document), File(File), Found(Found) {}

  Settings read();

private:
  TomlReader section(const char *Name);
  void readInstance(Settings &Target);
  void readPlatform(Settings &Target);
  void readPeers(Settings &Target);
  void readCallers(Settings &Target);
  void readAdmin(Settings &Target);
  void readTelemetry(Settings &Target);
  void address(TomlReader &Reader, const char *Key, SocketAddress &Target);
  void refuseUnknownSections();

  const toml::table &Document;
  const std::string &File;
  Diagnostics &Found;
};

TomlReader DocumentReader::section(const char *Name) {
  const toml::node *Node = this->Document.get(Name);
  if (Node && !Node->is_table())
    this->Found.Lines.push_back(this->File + ": " + Name +
                                ": expected a table");
  return {Node ? Node->as_table() : nullptr, Name, this->File, this->Found};
}

void DocumentReader::address(TomlReader &Reader, const char *Key,
                             SocketAddress &Target) {
  std::string Text;
  Reader.text(Key, Text, true);
  if (!Text.empty() && !parseAddress(Text, Target))
    Reader.problem(Key, "IP:PORT with an IP number");
}

void DocumentReader::readInstance(Settings &Target) {
  TomlReader Reader = this->section("instance");
  Reader.text("name", Target.InstanceName, true);
  Reader.text("zone", Target.Zone, true);
  this->address(Reader, "caller_listen", Target.CallerListen);
  this->address(Reader, "peer_listen", Target.PeerListen);
  this->address(Reader, "admin_listen", Target.AdminListen);
  Target.AdvertisedCallerAddress = formatAddress(Target.CallerListen);
  Target.AdvertisedPeerAddress = formatAddress(Target.PeerListen);
  Reader.text("advertised_caller_address", Target.AdvertisedCallerAddress);
  Reader.text("advertised_peer_address", Target.AdvertisedPeerAddress);
  Reader.milliseconds("stop_grace_ms", Target.StopGrace);
  Reader.milliseconds("longest_stop_ms", Target.LongestStop);
  Reader.refuseUnknown();
}

void DocumentReader::readPlatform(Settings &Target) {
  TomlReader Reader = this->section("platform");
  Reader.text("url", Target.PlatformUrl, true);
  if (!Target.PlatformUrl.empty() &&
      Target.PlatformUrl.compare(0, 7, "http://") != 0)
    Reader.problem("url", "an address that starts with http://");
  Reader.milliseconds("timeout_ms", Target.PlatformTimeout);
  Reader.refuseUnknown();
}

void DocumentReader::readPeers(Settings &Target) {
  TomlReader Reader = this->section("peers");
  Reader.text("secret", Target.PeerSecret, true);
  if (!Target.PeerSecret.empty() &&
      Target.PeerSecret.size() < ShortestPeerSecret)
    Reader.problem("secret", "at least " + std::to_string(ShortestPeerSecret) +
                                 " characters");
  std::vector<std::string> Seeds;
  Reader.texts("seeds", Seeds);
  for (const std::string &Text : Seeds) {
    PeerSeed Seed;
    if (parsePeerSeed(Text, Seed))
      Target.PeerSeeds.push_back(Seed);
    else
      Reader.problem("seeds", "NAME@IP:PORT in each entry, not " + Text);
  }
  Reader.refuseUnknown();
}

void DocumentReader::readCallers(Settings &Target) {
  TomlReader Reader = this->section("callers");
  Reader.count("largest_request_body_bytes", Target.LargestRequestBody, 1);
  Reader.count("largest_answer_body_bytes", Target.LargestAnswerBody, 1);
  Reader.count("most_connections", Target.MostCallerConnections, 1);
  Reader.milliseconds("lookup_max_age_ms", Target.LookupMaxAge);
  Reader.refuseUnknown();
}

void DocumentReader::readAdmin(Settings &Target) {
  TomlReader Reader = this->section("admin");
  Reader.refuseUnknown();
  const toml::node *Node = this->Document.get("operator");
  const toml::array *List = Node ? Node->as_array() : nullptr;
  if (!List)
    return;
  for (const toml::node &Item : *List) {
    TomlReader Entry(Item.as_table(), "operator", this->File, this->Found);
    OperatorToken Token;
    std::string Role = "read";
    Entry.text("name", Token.Name, true);
    Entry.text("token_sha256", Token.Sha256, true);
    if (!Token.Sha256.empty() && Token.Sha256.size() != Sha256HexLength)
      Entry.problem("token_sha256", "64 hexadecimal digits");
    Entry.text("role", Role);
    if (Role != "read" && Role != "operate")
      Entry.problem("role", "\"read\" or \"operate\"");
    Token.ReadOnly = Role != "operate";
    Entry.refuseUnknown();
    Target.OperatorTokens.push_back(Token);
  }
}

void DocumentReader::readTelemetry(Settings &Target) {
  TomlReader Logging = this->section("logging");
  std::string Format = "text";
  Logging.text("format", Format);
  if (Format != "text" && Format != "json")
    Logging.problem("format", "\"text\" or \"json\"");
  Target.LogJson = Format == "json";
  Logging.text("level", Target.LogLevel);
  if (Target.LogLevel != "debug" && Target.LogLevel != "info" &&
      Target.LogLevel != "warning" && Target.LogLevel != "error")
    Logging.problem("level", "\"debug\", \"info\", \"warning\" or \"error\"");
  Logging.refuseUnknown();
  TomlReader Tracing = this->section("tracing");
  Tracing.text("file", Target.SpanFile);
  Tracing.text("url", Target.SpanUrl);
  Tracing.refuseUnknown();
}

void DocumentReader::refuseUnknownSections() {
  static const std::set<std::string> Known = {
      "instance", "platform", "peers",   "callers",
      "admin",    "operator", "logging", "tracing"};
  for (const auto &[Key, Node] : this->Document) {
    const std::string Name(Key.str());
    if (!Known.count(Name))
      this->Found.Lines.push_back(this->File + ":" +
                                  std::to_string(Node.source().begin.line) +
                                  ": " + Name + ": expected no such key");
  }
}

Settings DocumentReader::read() {
  Settings Result;
  this->readInstance(Result);
  this->readPlatform(Result);
  this->readPeers(Result);
  this->readCallers(Result);
  this->readAdmin(Result);
  this->readTelemetry(Result);
  this->refuseUnknownSections();
  return Result;
}

} // namespace

Outcome<Settings> parseSettings(const std::string &Text,
                                const std::string &Name, Diagnostics &Found) {
  toml::table Document;
  try {
    Document = toml::parse(Text);
  } catch (const toml::parse_error &Error) {
    Found.Lines.push_back(Name + ":" +
                          std::to_string(Error.source().begin.line) + ": " +
                          std::string(Error.description()));
    return failure(Errc::Malformed);
  }
  const std::size_t Before = Found.Lines.size();
  Settings Result = DocumentReader(Document, Name, Found).read();
  if (Found.Lines.size() != Before)
    return failure(Errc::Malformed);
  return Result;
}

Outcome<Settings> loadSettings(const std::string &Path, Diagnostics &Found) {
  std::ifstream File(Path, std::ios::binary);
  if (!File) {
    Found.Lines.push_back(Path + ": cannot be read");
    return failure(Errc::NotFound);
  }
  std::ostringstream Text;
  Text << File.rdbuf();
  return parseSettings(Text.str(), Path, Found);
}

} // namespace rr
