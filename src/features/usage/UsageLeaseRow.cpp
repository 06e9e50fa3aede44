#include "usage/UsageLeaseRow.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace rr {

using nlohmann::json;

std::string encodeLeaseRow(const UsageLeaseRow &Row) {
  json Document{{"holder", Row.Holder},     {"incarnation", Row.Incarnation},
                {"peers", Row.PeerAddress}, {"token", Row.Token},
                {"first", Row.First},       {"done", Row.Done},
                {"renewals", Row.Renewals}, {"released", Row.Released}};
  // Earlier releases ignore it.
  if (Row.Era > 0)
    Document["era"] = Row.Era;
  return Document.dump();
}

Outcome<UsageLeaseRow> decodeLeaseRow(const std::string &Value) {
  const json Document = json::parse(Value, nullptr, false);
  if (!Document.is_object())
    return failure(Errc::Malformed);
  try {
    UsageLeaseRow Row;
    Row.Holder = Document.at("holder").get<std::string>();
    Row.Incarnation = Document.at("incarnation").get<std::string>();
    Row.PeerAddress = Document.at("peers").get<std::string>();
    for (const auto &[Key, Target] :
         {std::pair{"token", &Row.Token}, std::pair{"first", &Row.First},
          std::pair{"done", &Row.Done}, std::pair{"renewals", &Row.Renewals}}) {
      if (!Document.at(Key).is_number_unsigned())
        return failure(Errc::Malformed);
      *Target = Document.at(Key).get<std::uint64_t>();
    }
    Row.Released = Document.at("released").get<bool>();
    // Missing in a store that tells no era, and in rows of earlier releases.
    if (Document.contains("era")) {
      if (!Document["era"].is_number_unsigned())
        return failure(Errc::Malformed);
      Row.Era = Document["era"].get<std::uint64_t>();
    }
    return Row;
  } catch (const json::exception &) {
    return failure(Errc::Malformed);
  }
}

std::string encodePendingReport(const UsageCounts &Counts) {
  return json(Counts).dump();
}

Outcome<UsageCounts> decodePendingReport(const std::string &Value) {
  const json Document = json::parse(Value, nullptr, false);
  if (!Document.is_object())
    return failure(Errc::Malformed);
  UsageCounts Counts;
  for (const auto &[Workspace, Count] : Document.items()) {
    if (!Count.is_number_unsigned())
      return failure(Errc::Malformed);
    Counts[Workspace] = Count.get<std::uint64_t>();
  }
  return Counts;
}

Outcome<UsageWindow> decodeWindowKey(const std::string &Key) {
  UsageWindow Window = 0;
  const char *const End = Key.data() + Key.size();
  const auto Read = std::from_chars(Key.data(), End, Window);
  if (Read.ec != std::errc() || Read.ptr != End)
    return failure(Errc::Malformed);
  return Window;
}

} // namespace rr
