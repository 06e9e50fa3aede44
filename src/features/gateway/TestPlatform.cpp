#include "gateway/TestPlatform.h"

#include <sstream>

namespace rr {

namespace {

SteeringRoute testServiceRoute(const std::string &Name, RouteKind Kind) {
  SteeringRoute Route;
  Route.Name = Name;
  Route.Host = "h";
  Route.PathPrefix = "/" + Name + "/";
  Route.Kind = Kind;
  Route.TargetLatency = std::chrono::milliseconds(500);
  Route.Timeout = std::chrono::seconds(2);
  Route.MaxAttempts = 2;
  Route.Split = {{"stock", 1}};
  return Route;
}

} // namespace

GatewaySettings testSettings() {
  GatewaySettings Settings;
  Settings.Name = "i0";
  Settings.Zone = "z-a";
  Settings.Region = "z";
  Settings.CallerAddress = "127.0.0.1:0";
  Settings.ReadinessAddress = "127.0.0.1:0";
  Settings.LookupAddress = "127.0.0.1:0";
  Settings.MetricsAddress = "127.0.0.1:0";
  Settings.RegionByZone = {{"z-a", "z"}, {"y-a", "y"}};
  Settings.Headers = {"Id",     "Deadline",      "Key",   "Workspace",
                      "Object", "Expect-Server", "Stamp", "Not-Run",
                      "Load",   "Limit"};
  return Settings;
}

std::shared_ptr<const SteeringConfig>
testConfiguration(std::uint64_t Version, const std::set<std::string> &Keys,
                  double Rate, double Burst) {
  auto Config = std::make_shared<SteeringConfig>();
  Config->Version = Version;
  SteeringRoute Open = testServiceRoute("open", RouteKind::Safe);
  Open.AllowAnonymous = true;
  Config->RoutesByHost["h"] = {testServiceRoute("safe", RouteKind::Safe),
                               testServiceRoute("order", RouteKind::Unsafe),
                               Open};
  Config->Services["stock"] = {"stock", 100, 10};
  SteeringWorkspace Workspace;
  Workspace.Name = "w";
  Workspace.Rate = Rate;
  Workspace.Burst = Burst;
  Config->Workspaces.push_back(Workspace);
  Config->NeedsKeys = true;
  for (const std::string &Key : Keys)
    Config->WorkspaceByKey[Key] = 0;
  return Config;
}

PlatformCodec testCodec(const TestConfigurations &Configs) {
  PlatformCodec Codec;
  Codec.BackendTable = "backends";
  Codec.OrderTable = "orders";
  // A row holds ADDRESS ZONE STATE, and optionally the start time.
  Codec.DecodeBackend = [](const TableRow &Row) -> Outcome<BackendRecord> {
    std::istringstream Text(Row.Value);
    BackendRecord Record;
    std::string State;
    if (!(Text >> Record.Address >> Record.Zone >> State))
      return failure(Errc::Malformed);
    Record.Id = Row.Key;
    Record.Service = "stock";
    Record.Version = "v1";
    Record.Slots = 4;
    Record.Draining = State == "draining";
    Text >> Record.StartTimeMs;
    return Record;
  };
  Codec.DecodeOrder =
      [&Configs](const TableRow &Row) -> Outcome<OperatorOrder> {
    if (Row.Key == "config")
      return OperatorOrder(Configs.at(std::stoull(Row.Value)));
    if (Row.Key == "version")
      return OperatorOrder(
          VersionOrder{"stock", Row.Value, std::chrono::seconds(30)});
    return OperatorOrder(EvacuationOrder{Row.Key});
  };
  Codec.EncodeMoveStatus = [](const VersionMove &Move) {
    return TableWrite{"status", Move.Service, Move.Target, {}};
  };
  Codec.DecodeLookup = [](const HttpMessage &) -> Outcome<LookupQuery> {
    return LookupQuery{"h", "z-a", "z"};
  };
  Codec.EncodeLookup = [](const std::vector<std::string> &Addresses,
                          Clock::duration) {
    HttpMessage Reply;
    Reply.Status = 200;
    for (const std::string &Address : Addresses)
      Reply.Body += Address + "\n";
    return Reply;
  };
  Codec.IsReadinessCall = [](const HttpMessage &) { return true; };
  return Codec;
}

} // namespace rr
