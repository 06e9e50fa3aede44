#include "gateway/GatewaySettingsFile.h"

#include "settings/SocketAddress.h"
#include "settings/TomlReader.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace rr {

namespace {

/// Far above the limit of any process.
constexpr std::size_t MaxDescriptors = std::size_t{1} << 30;

class SettingsReader {
public:
  SettingsReader(const toml::table &Document, std::string File,
                 Diagnostics &Found)
      : Document(Document), File(std::move(File)), Found(Found) {}

  GatewaySettings read() {
    GatewaySettings Result;
    this->readInstance(Result);
    this->readStore(Result);
    this->readZones(Result);
    this->readBounds(Result.Bounds);
    this->readPlacement(Result.ByCost);
    this->readUsage(Result.Usage);
    this->readLog(Result.Log);
    return Result;
  }

private:
  TomlReader section(const char *Name) {
    return {this->Document[Name].as_table(), Name, this->File, this->Found};
  }

  void address(TomlReader &Reader, const char *Key, std::string &Target,
               bool Required) {
    SocketAddress Parsed;
    Reader.readString(Key, Target, Required);
    if (!Target.empty() && !parseAddress(Target, Parsed))
      Reader.reportError(Key, "IP:PORT with a numeric IP address");
  }

  void readInstance(GatewaySettings &Target) {
    TomlReader Reader = this->section("instance");
    Reader.readString("name", Target.Name, true);
    Reader.readString("zone", Target.Zone, true);
    Reader.readString("region", Target.Region, true);
    this->address(Reader, "callers", Target.CallerAddress, true);
    this->address(Reader, "readiness", Target.ReadinessAddress, false);
    this->address(Reader, "lookups", Target.LookupAddress, false);
    this->address(Reader, "metrics", Target.MetricsAddress, false);
    this->address(Reader, "peers", Target.PeerAddress, false);
    Reader.readNumber("cpu_share", Target.CpuShare, 0);
    Reader.readNumber("memory_mb", Target.MemoryMiB, 0);
    // The platform may write whole numbers with a fraction.
    double Descriptors = 0;
    Reader.readNumber("descriptors", Descriptors, 0);
    Target.Descriptors =
        std::size_t(std::min(Descriptors, double(MaxDescriptors)));
    Reader.reportUnknownKeys();
  }

  void readStore(GatewaySettings &Target) {
    TomlReader Reader = this->section("store");
    this->address(Reader, "address", Target.StoreAddress, true);
    Reader.reportUnknownKeys();
  }

  void readZones(GatewaySettings &Target) {
    const toml::table *Zones = this->Document["zones"].as_table();
    if (!Zones)
      return;
    for (const auto &[Zone, Region] : *Zones) {
      const auto Name = Region.value<std::string>();
      if (!Name)
        this->Found.Lines.push_back(this->File + ": zones." +
                                    std::string(Zone.str()) +
                                    ": expected the name of a region");
      else
        Target.RegionByZone[std::string(Zone.str())] = *Name;
    }
  }

  void readBounds(SteeringBounds &Target) {
    TomlReader Reader = this->section("bounds");
    Reader.readSeconds("revocation_s", Target.RevocationTime);
    Reader.readSeconds("configuration_s", Target.ConfigurationTime);
    Reader.readSeconds("drain_s", Target.DrainTime);
    Reader.readSeconds("stop_s", Target.StopTime);
    Reader.readSeconds("lookup_lifetime_s", Target.LookupLifetime);
    Reader.readNumber("retry_ratio", Target.RetryRatio, 0);
    Reader.readNumber("retry_extra", Target.RetryExtra, 0);
    Reader.readSeconds("quota_window_s", Target.Quota.Window);
    Reader.readNumber("quota_overage", Target.Quota.Overage, 0);
    Reader.readNumber("quota_tolerance", Target.Quota.Tolerance, 0);
    Reader.readNumber("most_shift", Target.MaxShiftShare, 0);
    Reader.reportUnknownKeys();
  }

  void readPlacement(PlaceByCost &Target) {
    TomlReader Reader = this->section("placement");
    std::string Value = "auto";
    Reader.readString("by_cost", Value);
    if (Value == "auto")
      Target = PlaceByCost::Auto;
    else if (Value == "on")
      Target = PlaceByCost::On;
    else if (Value == "off")
      Target = PlaceByCost::Off;
    else
      Reader.reportError("by_cost", "auto, on or off");
    Reader.reportUnknownKeys();
  }

  void readUsage(UsageSettings &Target) {
    TomlReader Reader = this->section("usage");
    this->address(Reader, "address", Target.Address, false);
    Reader.readNestedStrings("duties", Target.Duties);
    Reader.readNumber("calls_per_s", Target.CallsPerSecond, 0);
    Reader.readSeconds("window_s", Target.Window);
    Reader.readSeconds("due_s", Target.Due);
    Reader.readSeconds("lease_s", Target.Lease);
    Reader.reportUnknownKeys();
  }

  void readLog(EventLogSettings &Target) {
    TomlReader Reader = this->section("log");
    Reader.readBool("json", Target.Json);
    Reader.readString("level", Target.Level);
    // The log is written to standard output.
    Target.Descriptor = STDOUT_FILENO;
    Reader.reportUnknownKeys();
  }

  const toml::table &Document;
  std::string File;
  Diagnostics &Found;
};

} // namespace

Outcome<GatewaySettings> parseGatewaySettings(const std::string &Text,
                                              const std::string &File,
                                              Diagnostics &Found) {
  try {
    const toml::table Document = toml::parse(Text, File);
    const std::size_t Before = Found.Lines.size();
    GatewaySettings Result = SettingsReader(Document, File, Found).read();
    if (Found.Lines.size() == Before)
      return Result;
  } catch (const toml::parse_error &Error) {
    Found.Lines.push_back(File + ":" +
                          std::to_string(Error.source().begin.line) + ": " +
                          std::string(Error.description()));
  }
  return failure(Errc::Malformed);
}

Outcome<GatewaySettings> loadGatewaySettings(const std::string &File,
                                             Diagnostics &Found) {
  std::ifstream Input(File, std::ios::binary);
  if (!Input) {
    Found.Lines.push_back(File + ": cannot be read");
    return failure(Errc::NotFound);
  }
  std::ostringstream Text;
  Text << Input.rdbuf();
  return parseGatewaySettings(Text.str(), File, Found);
}

} // namespace rr
