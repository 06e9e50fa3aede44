#include "instance/InstanceReport.h"

#include "limits/LimitsJson.h"
#include "membership/MessageReader.h"

#include <utility>

namespace rr {

namespace {

using nlohmann::json;

constexpr std::size_t MostItems = 1024;

json encodeHeadroom(const ServiceHeadroom &Item) {
  return {{"service", Item.Service},
          {"version", Item.Version},
          {"slots", Item.Slots},
          {"free", Item.FreeSlots},
          {"latency_ns", static_cast<std::uint64_t>(Item.Latency.count())}};
}

double readNumber(const json &Object, const char *Key, bool &Good) {
  const auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_number()) {
    Good = false;
    return 0;
  }
  return Found->get<double>();
}

bool readHeadroom(const json &Body, InstanceReport &Report) {
  const auto List = Body.find("headroom");
  if (List == Body.end() || !List->is_array() || List->size() > MostItems)
    return false;
  bool Good = true;
  for (const json &Item : *List) {
    MessageReader Reader(Item);
    ServiceHeadroom Value;
    Value.Service = Reader.name("service");
    Value.Version = Reader.name("version");
    Value.Slots = static_cast<std::uint32_t>(Reader.count("slots"));
    Value.Latency = std::chrono::nanoseconds(Reader.count("latency_ns"));
    if (!Reader.isGood())
      return false;
    Value.FreeSlots = readNumber(Item, "free", Good);
    Report.Headroom.push_back(std::move(Value));
  }
  return Good;
}

bool readOverflows(const json &Body, InstanceReport &Report) {
  const auto List = Body.find("overflows");
  if (List == Body.end() || !List->is_array() || List->size() > MostItems)
    return false;
  bool Good = true;
  for (const json &Item : *List) {
    MessageReader Reader(Item);
    Overflow Value;
    Value.Service = Reader.name("service");
    Value.Requests = Reader.count("requests");
    if (!Reader.isGood())
      return false;
    Value.Bytes = readNumber(Item, "bytes", Good);
    Report.Overflows.push_back(std::move(Value));
  }
  return Good;
}

bool readVersions(const json &Body, InstanceReport &Report) {
  const auto List = Body.find("versions");
  if (List == Body.end() || !List->is_object() || List->size() > MostItems)
    return false;
  for (const auto &[Service, Text] : List->items()) {
    auto Stats = decodeVersionStats(Text);
    if (!Stats)
      return false;
    Report.Versions[Service] = std::move(*Stats);
  }
  return true;
}

bool readOutstanding(const json &Body, InstanceReport &Report) {
  const auto List = Body.find("outstanding");
  if (List == Body.end() || !List->is_object() || List->size() > MostItems)
    return false;
  for (const auto &[Server, Count] : List->items()) {
    if (!Count.is_number_unsigned())
      return false;
    Report.Outstanding[Server] = Count.get<std::uint64_t>();
  }
  return true;
}

} // namespace

json encodeReport(const InstanceReport &Report, Clock::time_point Now) {
  json Headroom = json::array();
  for (const ServiceHeadroom &Item : Report.Headroom)
    Headroom.push_back(encodeHeadroom(Item));
  json Overflows = json::array();
  for (const Overflow &Item : Report.Overflows)
    Overflows.push_back({{"service", Item.Service},
                         {"requests", Item.Requests},
                         {"bytes", Item.Bytes}});
  json Versions = json::object();
  for (const auto &[Service, Stats] : Report.Versions)
    Versions[Service] = encodeVersionStats(Stats);
  json Outstanding = json::object();
  for (const auto &[Server, Count] : Report.Outstanding)
    Outstanding[Server] = Count;
  return {{"age_ms", encodeAge(Now - Report.MadeAt)},
          {"demand", formatDemandReport(Report.Demand)},
          {"headroom", std::move(Headroom)},
          {"overflows", std::move(Overflows)},
          {"versions", std::move(Versions)},
          {"outstanding", std::move(Outstanding)}};
}

Outcome<InstanceReport> decodeReport(const json &Body, Clock::time_point Now) {
  MessageReader Reader(Body);
  InstanceReport Result;
  Result.MadeAt = Now - Reader.age("age_ms");
  if (!Reader.isGood() || !Body.contains("demand"))
    return failure(Errc::Malformed);
  const auto Demand = parseDemandReport(Body["demand"]);
  if (!Demand || !readHeadroom(Body, Result) || !readOverflows(Body, Result) ||
      !readVersions(Body, Result) || !readOutstanding(Body, Result))
    return failure(Errc::Malformed);
  Result.Demand = *Demand;
  return Result;
}

} // namespace rr
