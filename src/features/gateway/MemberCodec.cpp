#include "gateway/MemberCodec.h"

#include "base/JsonNumbers.h"
#include "settings/SocketAddress.h"

#include <nlohmann/json.hpp>

namespace rr {

using nlohmann::json;

namespace {

bool isAddressOrEmpty(const std::string &Text) {
  SocketAddress Ignored;
  return Text.empty() || parseAddress(Text, Ignored);
}

/// Whether the addresses can be given to callers and connected to.
bool hasValidAddresses(const MemberRecord &Record) {
  return isAddressOrEmpty(Record.Address) &&
         isAddressOrEmpty(Record.LookupAddress) &&
         isAddressOrEmpty(Record.PeerAddress);
}

bool readLimit(const json &Value, ServerLimitReport &Report) {
  if (!readSeconds(Value, "said_at", Report.SaidAt))
    return false;
  if (Value.contains("per_s"))
    Report.RequestsPerSecond = Value.at("per_s").get<double>();
  return !Report.RequestsPerSecond || *Report.RequestsPerSecond >= 0;
}

/// Reads fields that earlier versions of the program do not write. Rows of such
/// instances must be accepted during a rolling upgrade. Returns false if one
/// has no valid value.
bool readOptionalFields(const json &Value, MemberRecord &Record) {
  Record.PeerAddress = Value.value("peers", "");
  Record.Joining = Value.value("joining", false);
  if (Value.contains("sequence") &&
      !readCount(Value, "sequence", Record.Sequence))
    return false;
  if (Value.contains("configuration") &&
      !readCount(Value, "configuration", Record.Configuration))
    return false;
  if (Value.contains("contact_since") &&
      !readSeconds(Value, "contact_since", Record.StoreContactSince))
    return false;
  if (Value.contains("distressed") &&
      !readSeconds(Value, "distressed", Record.Distressed.emplace()))
    return false;
  if (Value.contains("server_limits"))
    for (const auto &[Id, Report] : Value.at("server_limits").items())
      if (!readLimit(Report, Record.ServerLimits[Id]))
        return false;
  return true;
}

json encodeLimits(const std::map<std::string, ServerLimitReport> &Limits) {
  json Result = json::object();
  for (const auto &[Id, Report] : Limits) {
    const std::chrono::duration<double> SaidAt = Report.SaidAt;
    Result[Id] = {{"said_at", SaidAt.count()}};
    if (Report.RequestsPerSecond)
      Result[Id]["per_s"] = *Report.RequestsPerSecond;
  }
  return Result;
}

} // namespace

std::string encodeMember(const MemberRecord &Record) {
  const std::chrono::duration<double> WrittenAt = Record.WrittenAt;
  const std::chrono::duration<double> ContactSince = Record.StoreContactSince;
  json Value{{"name", Record.Name},
             {"incarnation", Record.Incarnation},
             {"sequence", Record.Sequence},
             {"address", Record.Address},
             {"zone", Record.Zone},
             {"region", Record.Region},
             {"lookups", Record.LookupAddress},
             {"peers", Record.PeerAddress},
             {"capacity", Record.Capacity},
             {"standby", Record.Standby},
             {"joining", Record.Joining},
             {"written_at", WrittenAt.count()},
             {"contact_since", ContactSince.count()},
             {"configuration", Record.Configuration},
             {"leaving", Record.Leaving},
             {"demand", Record.Demand},
             {"rollouts", Record.Rollouts}};
  // Most rows need none of these fields.
  if (Record.Distressed)
    Value["distressed"] =
        std::chrono::duration<double>(*Record.Distressed).count();
  if (!Record.ServerLimits.empty())
    Value["server_limits"] = encodeLimits(Record.ServerLimits);
  return Value.dump();
}

Outcome<MemberRecord> decodeMember(const std::string &Text) {
  const json Value = json::parse(Text, nullptr, false);
  if (!Value.is_object())
    return failure(Errc::Malformed);
  try {
    MemberRecord Record;
    Value.at("name").get_to(Record.Name);
    Value.at("incarnation").get_to(Record.Incarnation);
    Value.at("address").get_to(Record.Address);
    Value.at("zone").get_to(Record.Zone);
    Value.at("region").get_to(Record.Region);
    Value.at("lookups").get_to(Record.LookupAddress);
    Value.at("capacity").get_to(Record.Capacity);
    Value.at("standby").get_to(Record.Standby);
    Value.at("leaving").get_to(Record.Leaving);
    Value.at("demand").get_to(Record.Demand);
    Value.at("rollouts").get_to(Record.Rollouts);
    if (!readSeconds(Value, "written_at", Record.WrittenAt) ||
        !readOptionalFields(Value, Record) || !hasValidAddresses(Record))
      return failure(Errc::Malformed);
    return Record;
  } catch (const json::exception &) {
    return failure(Errc::Malformed);
  }
}

} // namespace rr
