#include "model/FleetConfigJson.h"

#include "model/FleetConfigChecks.h"
#include "model/JsonReader.h"

#include <utility>

namespace rr {

namespace {

using nlohmann::json;
using Problems = std::vector<std::string>;

Zone readZone(JsonReader &Reader) {
  return {Reader.text("name"), Reader.text("region")};
}

Link readLink(JsonReader &Reader) {
  Link Result;
  Result.From = Reader.text("from");
  Result.To = Reader.text("to");
  Result.BitsPerSecond = Reader.countOr("bits_per_second", 1, 1);
  Result.Latency =
      std::chrono::microseconds(Reader.countOr("latency_us", 0, 0));
  return Result;
}

Site readSite(JsonReader &Reader) {
  return {Reader.text("name"), Reader.text("zone")};
}

ClientBlock readBlock(JsonReader &Reader) {
  return {Reader.text("prefix"), Reader.texts("sites")};
}

Workspace readWorkspace(JsonReader &Reader) {
  return {Reader.text("name"), Reader.number("rate_per_second", 0),
          Reader.number("burst", 1)};
}

Route readRoute(JsonReader &Reader) {
  Route Result;
  Result.Name = Reader.text("name");
  Result.Service = Reader.text("service");
  Result.Methods = Reader.texts("methods");
  Result.PathPrefix = Reader.text("path_prefix");
  Result.Open = Reader.flagOr("open", false);
  Result.Timeout = std::chrono::milliseconds(
      Reader.countOr("timeout_ms", 1, Result.Timeout.count()));
  return Result;
}

BackendServer readServer(JsonReader &Reader) {
  BackendServer Result;
  Result.Name = Reader.text("name");
  Result.Service = Reader.text("service");
  Result.Version = Reader.text("version");
  Result.Zone = Reader.text("zone");
  Result.Address = Reader.text("address");
  Result.Slots = static_cast<std::uint32_t>(Reader.countOr("slots", 1, 1));
  Result.Connections =
      static_cast<std::uint32_t>(Reader.countOr("connections", 1, 400));
  Result.Draining = Reader.flagOr("draining", false);
  return Result;
}

VersionSplit readSplit(JsonReader &Reader) {
  return {Reader.text("service"), Reader.text("stable"),
          Reader.textOr("canary", ""), Reader.numberOr("canary_share", 0, 0),
          Reader.textOr("plan", "")};
}

TrafficShift readShift(JsonReader &Reader) {
  return {Reader.text("workspace"), Reader.textOr("from_region", ""),
          Reader.text("to_region"), Reader.number("share", 0)};
}

template <typename T>
std::vector<T> readList(const json &Document, const char *Key,
                        T (*ReadItem)(JsonReader &), Problems &Errors) {
  std::vector<T> Result;
  const auto List = Document.find(Key);
  if (List == Document.end())
    return Result;
  if (!List->is_array()) {
    Errors.push_back(std::string(Key) + ": expected a list");
    return Result;
  }
  Result.reserve(List->size());
  std::size_t Index = 0;
  for (const json &Item : *List) {
    JsonReader Reader(
        Item, std::string(Key) + "[" + std::to_string(Index++) + "]", Errors);
    Result.push_back(ReadItem(Reader));
    Reader.reportUnknownMembers();
  }
  return Result;
}

FleetConfig readDocument(const json &Document, Problems &Errors) {
  FleetConfig Result;
  if (Document.contains("version") && Document["version"].is_number_unsigned())
    Result.Version = Document["version"].get<std::uint64_t>();
  else
    Errors.push_back("version: expected a whole number");
  Result.Zones = readList(Document, "zones", readZone, Errors);
  Result.Links = readList(Document, "links", readLink, Errors);
  Result.Sites = readList(Document, "sites", readSite, Errors);
  Result.Blocks = readList(Document, "blocks", readBlock, Errors);
  Result.Workspaces = readList(Document, "workspaces", readWorkspace, Errors);
  Result.Routes = readList(Document, "routes", readRoute, Errors);
  Result.Servers = readList(Document, "servers", readServer, Errors);
  Result.Splits = readList(Document, "splits", readSplit, Errors);
  Result.Shifts = readList(Document, "shifts", readShift, Errors);
  return Result;
}

json toJson(const Route &Item) {
  return {{"name", Item.Name},       {"service", Item.Service},
          {"methods", Item.Methods}, {"path_prefix", Item.PathPrefix},
          {"open", Item.Open},       {"timeout_ms", Item.Timeout.count()}};
}

json toJson(const BackendServer &Item) {
  return {{"name", Item.Name},
          {"service", Item.Service},
          {"version", Item.Version},
          {"zone", Item.Zone},
          {"address", Item.Address},
          {"slots", Item.Slots},
          {"connections", Item.Connections},
          {"draining", Item.Draining}};
}

json toJson(const Zone &Item) {
  return {{"name", Item.Name}, {"region", Item.Region}};
}

json toJson(const Link &Item) {
  return {{"from", Item.From},
          {"to", Item.To},
          {"bits_per_second", Item.BitsPerSecond},
          {"latency_us", Item.Latency.count()}};
}

json toJson(const Site &Item) {
  return {{"name", Item.Name}, {"zone", Item.Zone}};
}

json toJson(const ClientBlock &Item) {
  return {{"prefix", Item.Prefix}, {"sites", Item.Sites}};
}

json toJson(const Workspace &Item) {
  return {{"name", Item.Name},
          {"rate_per_second", Item.Rate},
          {"burst", Item.Burst}};
}

json toJson(const VersionSplit &Item) {
  return {{"service", Item.Service},
          {"stable", Item.StableVersion},
          {"canary", Item.CanaryVersion},
          {"canary_share", Item.CanaryShare},
          {"plan", Item.Plan}};
}

json toJson(const TrafficShift &Item) {
  return {{"workspace", Item.Workspace},
          {"from_region", Item.FromRegion},
          {"to_region", Item.ToRegion},
          {"share", Item.Share}};
}

template <typename T> json toJsonArray(const std::vector<T> &Items) {
  json Result = json::array();
  for (const T &Item : Items)
    Result.push_back(toJson(Item));
  return Result;
}

} // namespace

Outcome<FleetConfig> parseFleetConfig(const std::string &Text,
                                      std::vector<std::string> &Problems) {
  const json Document = json::parse(Text, nullptr, false);
  if (!Document.is_object()) {
    Problems.emplace_back("configuration: expected a JSON object");
    return failure(Errc::Malformed);
  }
  FleetConfig Result = readDocument(Document, Problems);
  checkFleetConfig(Result, Problems);
  if (!Problems.empty())
    return failure(Errc::Malformed);
  return Result;
}

std::string formatFleetConfig(const FleetConfig &Config) {
  const json Document = {{"version", Config.Version},
                         {"zones", toJsonArray(Config.Zones)},
                         {"links", toJsonArray(Config.Links)},
                         {"sites", toJsonArray(Config.Sites)},
                         {"blocks", toJsonArray(Config.Blocks)},
                         {"workspaces", toJsonArray(Config.Workspaces)},
                         {"routes", toJsonArray(Config.Routes)},
                         {"servers", toJsonArray(Config.Servers)},
                         {"splits", toJsonArray(Config.Splits)},
                         {"shifts", toJsonArray(Config.Shifts)}};
  return Document.dump();
}

} // namespace rr
