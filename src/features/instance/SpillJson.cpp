#include "instance/SpillJson.h"

#include "membership/MessageReader.h"

#include <cmath>

namespace rr {

namespace {

using nlohmann::json;

constexpr std::size_t MostItems = 256;
// A server without answers yet is taken for a slow one.
constexpr std::chrono::milliseconds AssumedLatency{100};

double readRate(const json &Object, const char *Key, bool &Good) {
  const auto Found = Object.find(Key);
  const bool Usable = Found != Object.end() && Found->is_number() &&
                      std::isfinite(Found->get<double>()) &&
                      Found->get<double>() >= 0;
  Good = Good && Usable;
  return Usable ? Found->get<double>() : 0;
}

// Reads the rates that asks and grants have in common.
template <typename T> bool readRates(const json &Body, T &Target) {
  bool Good = true;
  Target.RequestsPerSecond = readRate(Body, "requests", Good);
  Target.BytesPerSecond = readRate(Body, "bytes", Good);
  return Good;
}

Outcome<SpillAsk> decodeAsk(const json &Body) {
  MessageReader Reader(Body);
  SpillAsk Result;
  Result.Zone = Reader.name("zone");
  Result.Region = Reader.name("region");
  Result.Service = Reader.name("service");
  if (!Reader.isGood() || !readRates(Body, Result))
    return failure(Errc::Malformed);
  return Result;
}

template <typename T>
Outcome<std::vector<T>> decodeList(const json &Body,
                                   Outcome<T> (*Decode)(const json &)) {
  if (!Body.is_array() || Body.size() > MostItems)
    return failure(Errc::Malformed);
  std::vector<T> Result;
  for (const json &Item : Body) {
    auto Value = Decode(Item);
    if (!Value)
      return failure(Errc::Malformed);
    Result.push_back(std::move(*Value));
  }
  return Result;
}

} // namespace

json encodeAsks(const std::vector<SpillAsk> &Asks) {
  json Result = json::array();
  for (const SpillAsk &Item : Asks)
    Result.push_back({{"zone", Item.Zone},
                      {"region", Item.Region},
                      {"service", Item.Service},
                      {"requests", Item.RequestsPerSecond},
                      {"bytes", Item.BytesPerSecond}});
  return Result;
}

Outcome<std::vector<SpillAsk>> decodeAsks(const json &Body) {
  return decodeList<SpillAsk>(Body, decodeAsk);
}

json encodeGrant(const SpillGrant &Grant) {
  return {{"to_region", Grant.ToRegion},
          {"granter", Grant.Granter},
          {"zone", Grant.Zone},
          {"service", Grant.Service},
          {"requests", Grant.RequestsPerSecond},
          {"bytes", Grant.BytesPerSecond}};
}

Outcome<SpillGrant> decodeGrant(const json &Body) {
  MessageReader Reader(Body);
  SpillGrant Result;
  Result.ToRegion = Reader.name("to_region");
  Result.Granter = Reader.name("granter");
  Result.Zone = Reader.name("zone");
  Result.Service = Reader.name("service");
  if (!Reader.isGood() || !readRates(Body, Result))
    return failure(Errc::Malformed);
  return Result;
}

json encodeGrants(const std::vector<SpillGrant> &Grants) {
  json Result = json::array();
  for (const SpillGrant &Item : Grants)
    Result.push_back(encodeGrant(Item));
  return Result;
}

Outcome<std::vector<SpillGrant>> decodeGrants(const json &Body) {
  return decodeList<SpillGrant>(Body, decodeGrant);
}

double freePerSecond(const ServiceHeadroom &Item) {
  if (Item.Latency.count() > 0)
    return Item.requestsPerSecond();
  return Item.FreeSlots / std::chrono::duration<double>(AssumedLatency).count();
}

} // namespace rr
