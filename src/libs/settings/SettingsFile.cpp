#include "settings/SettingsFile.h"

#include "settings/TomlReader.h"

#include <fstream>
#include <sstream>

namespace rr {

namespace {

constexpr std::size_t MinPeerSecretLength = 16;
constexpr std::size_t Sha256HexLength = 64;

/// Reads a settings document section by section.
class DocumentReader {
public:
  DocumentReader(const toml::table &Document, const std::string &File,
                 Diagnostics &Errors)
      : Document(Document), File(File), Errors(Errors) {}

  Settings read();

private:
  TomlReader section(const char *Name);
  void readInstance(Settings &Target);
  void readPlatform(Settings &Target);
  void readPeers(Settings &Target);
  void readCallers(Settings &Target);
  void readAdmin(Settings &Target);
  void readTelemetry(Settings &Target);
  void readAddress(TomlReader &Reader, const char *Key, SocketAddress &Target);
  void reportUnknownSections();

  const toml::table &Document;
  const std::string &File;
  Diagnostics &Errors;
};

TomlReader DocumentReader::section(const char *Name) {
  const toml::node *Node = this->Document.get(Name);
  if (Node && !Node->is_table())
    this->Errors.Lines.push_back(this->File + ": " + Name +
                                 ": expected a table");
  return {Node ? Node->as_table() : nullptr, Name, this->File, this->Errors};
}

void DocumentReader::readAddress(TomlReader &Reader, const char *Key,
                                 SocketAddress &Target) {
  std::string Text;
  Reader.readString(Key, Text, true);
  if (!Text.empty() && !parseAddress(Text, Target))
    Reader.reportError(Key, "IP:PORT with a numeric IP address");
}

void DocumentReader::readInstance(Settings &Target) {
  TomlReader Reader = this->section("instance");
  Reader.readString("name", Target.InstanceName, true);
  Reader.readString("zone", Target.Zone, true);
  this->readAddress(Reader, "caller_listen", Target.CallerListen);
  this->readAddress(Reader, "peer_listen", Target.PeerListen);
  this->readAddress(Reader, "admin_listen", Target.AdminListen);
  Target.AdvertisedCallerAddress = formatAddress(Target.CallerListen);
  Target.AdvertisedPeerAddress = formatAddress(Target.PeerListen);
  Reader.readString("advertised_caller_address",
                    Target.AdvertisedCallerAddress);
  Reader.readString("advertised_peer_address", Target.AdvertisedPeerAddress);
  Reader.readMilliseconds("stop_grace_ms", Target.StopGrace);
  Reader.readMilliseconds("longest_stop_ms", Target.MaxStopTime);
  Reader.reportUnknownKeys();
}

void DocumentReader::readPlatform(Settings &Target) {
  TomlReader Reader = this->section("platform");
  Reader.readString("url", Target.PlatformUrl, true);
  if (!Target.PlatformUrl.empty() &&
      Target.PlatformUrl.compare(0, 7, "http://") != 0)
    Reader.reportError("url", "a URL that starts with http://");
  Reader.readMilliseconds("timeout_ms", Target.PlatformTimeout);
  Reader.reportUnknownKeys();
}

void DocumentReader::readPeers(Settings &Target) {
  TomlReader Reader = this->section("peers");
  Reader.readString("secret", Target.PeerSecret, true);
  if (!Target.PeerSecret.empty() &&
      Target.PeerSecret.size() < MinPeerSecretLength)
    Reader.reportError("secret", "at least " +
                                     std::to_string(MinPeerSecretLength) +
                                     " characters");
  std::vector<std::string> Seeds;
  Reader.readStrings("seeds", Seeds);
  for (const std::string &Text : Seeds) {
    PeerSeed Seed;
    if (parsePeerSeed(Text, Seed))
      Target.PeerSeeds.push_back(Seed);
    else
      Reader.reportError("seeds", "NAME@IP:PORT in each entry, not " + Text);
  }
  Reader.reportUnknownKeys();
}

void DocumentReader::readCallers(Settings &Target) {
  TomlReader Reader = this->section("callers");
  Reader.readCount("largest_request_body_bytes", Target.MaxRequestBodyBytes, 1);
  Reader.readCount("largest_answer_body_bytes", Target.MaxResponseBodyBytes, 1);
  Reader.readCount("most_connections", Target.MaxCallerConnections, 1);
  Reader.readMilliseconds("lookup_max_age_ms", Target.LookupMaxAge);
  Reader.reportUnknownKeys();
}

void DocumentReader::readAdmin(Settings &Target) {
  TomlReader Reader = this->section("admin");
  Reader.reportUnknownKeys();
  const toml::node *Node = this->Document.get("operator");
  const toml::array *List = Node ? Node->as_array() : nullptr;
  if (!List)
    return;
  for (const toml::node &Item : *List) {
    TomlReader Entry(Item.as_table(), "operator", this->File, this->Errors);
    OperatorToken Token;
    std::string Role = "read";
    Entry.readString("name", Token.Name, true);
    Entry.readString("token_sha256", Token.Sha256, true);
    if (!Token.Sha256.empty() && Token.Sha256.size() != Sha256HexLength)
      Entry.reportError("token_sha256", "64 hexadecimal digits");
    Entry.readString("role", Role);
    if (Role != "read" && Role != "operate")
      Entry.reportError("role", "\"read\" or \"operate\"");
    Token.ReadOnly = Role != "operate";
    Entry.reportUnknownKeys();
    Target.OperatorTokens.push_back(Token);
  }
}

void DocumentReader::readTelemetry(Settings &Target) {
  TomlReader Logging = this->section("logging");
  std::string Format = "text";
  Logging.readString("format", Format);
  if (Format != "text" && Format != "json")
    Logging.reportError("format", "\"text\" or \"json\"");
  Target.LogJson = Format == "json";
  Logging.readString("level", Target.LogLevel);
  if (Target.LogLevel != "debug" && Target.LogLevel != "info" &&
      Target.LogLevel != "warning" && Target.LogLevel != "error")
    Logging.reportError("level",
                        "\"debug\", \"info\", \"warning\" or \"error\"");
  Logging.reportUnknownKeys();
  TomlReader Tracing = this->section("tracing");
  Tracing.readString("file", Target.SpanFile);
  Tracing.readString("url", Target.SpanUrl);
  Tracing.reportUnknownKeys();
}

void DocumentReader::reportUnknownSections() {
  static const std::set<std::string> Known = {
      "instance", "platform", "peers",   "callers",
      "admin",    "operator", "logging", "tracing"};
  for (const auto &[Key, Node] : this->Document) {
    const std::string Name(Key.str());
    if (!Known.count(Name))
      this->Errors.Lines.push_back(this->File + ":" +
                                   std::to_string(Node.source().begin.line) +
                                   ": " + Name + ": unknown key");
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
  this->reportUnknownSections();
  return Result;
}

} // namespace

Outcome<Settings> parseSettings(const std::string &Text,
                                const std::string &Name, Diagnostics &Errors) {
  toml::table Document;
  try {
    Document = toml::parse(Text);
  } catch (const toml::parse_error &Error) {
    Errors.Lines.push_back(Name + ":" +
                           std::to_string(Error.source().begin.line) + ": " +
                           std::string(Error.description()));
    return failure(Errc::Malformed);
  }
  const std::size_t Before = Errors.Lines.size();
  Settings Result = DocumentReader(Document, Name, Errors).read();
  if (Errors.Lines.size() != Before)
    return failure(Errc::Malformed);
  return Result;
}

Outcome<Settings> loadSettings(const std::string &Path, Diagnostics &Errors) {
  std::ifstream File(Path, std::ios::binary);
  if (!File) {
    Errors.Lines.push_back(Path + ": cannot be read");
    return failure(Errc::NotFound);
  }
  std::ostringstream Text;
  Text << File.rdbuf();
  return parseSettings(Text.str(), Path, Errors);
}

} // namespace rr
