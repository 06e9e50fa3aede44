#include "instance/InstanceFleetConfig.h"

#include "model/FleetConfigJson.h"

namespace rr {

namespace {

constexpr std::uint64_t LinkBitsPerSecond = 280'000'000;

BackendServer serverAt(const std::string &Name, const std::string &Service,
                       const std::string &Version, const std::string &Zone) {
  BackendServer Result;
  Result.Name = Name;
  Result.Service = Service;
  Result.Version = Version;
  Result.Zone = Zone;
  Result.Address = "127.0.0.1:1";
  Result.Slots = 3;
  return Result;
}

Route routeTo(const std::string &Service, const std::string &Method,
              const std::string &Prefix, bool Open) {
  Route Result;
  Result.Name = Prefix.substr(1);
  Result.Service = Service;
  Result.Methods = {Method};
  Result.PathPrefix = Prefix;
  Result.Open = Open;
  Result.Timeout = std::chrono::milliseconds(3000);
  return Result;
}

} // namespace

FleetConfig instanceFleetConfig() {
  FleetConfig Result;
  Result.Version = 1;
  Result.Zones = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}};
  Result.Links = {{"a", "b", LinkBitsPerSecond, std::chrono::milliseconds(12)},
                  {"b", "a", LinkBitsPerSecond, std::chrono::milliseconds(12)}};
  Result.Sites = {{"a1", "a1"}, {"a2", "a2"}, {"b1", "b1"}};
  Result.Blocks = {{"10.1.0.0/16", {"a1", "a2", "b1"}},
                   {"10.2.0.0/16", {"b1", "a1"}},
                   {"0.0.0.0/0", {"a1", "a2", "b1"}}};
  Result.Workspaces = {{"w", 100, 40}, {"v", 20, 10}};
  Result.Routes = {routeTo("stock", "GET", "/stock", false),
                   routeTo("orders", "POST", "/orders", false),
                   routeTo("stock", "GET", "/about", true)};
  for (const char *Service : {"stock", "orders"}) {
    const std::string Name = Service;
    Result.Servers.push_back(serverAt(Name + "-1", Name, "1", "a1"));
    Result.Servers.push_back(serverAt(Name + "-2", Name, "1", "a1"));
    Result.Servers.push_back(serverAt(Name + "-3", Name, "1", "a2"));
    Result.Servers.push_back(serverAt(Name + "-4", Name, "1", "b1"));
  }
  Result.Servers.push_back(serverAt("stock-5", "stock", "2", "a1"));
  VersionSplit Split;
  Split.Service = "stock";
  Split.StableVersion = "1";
  Result.Splits.push_back(Split);
  Split.Service = "orders";
  Result.Splits.push_back(Split);
  return Result;
}

std::string instanceFleetDocument() {
  return formatFleetConfig(instanceFleetConfig());
}

} // namespace rr
