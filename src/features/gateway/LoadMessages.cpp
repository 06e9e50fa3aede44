#include "gateway/LoadMessages.h"

#include "peerlink/MessageBody.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace rr {

using nlohmann::json;

namespace {

/// A time in nanoseconds. Larger ones overflow when they are added up.
bool isTime(const json &Value) {
  constexpr double MaxNanoseconds = 1e18;
  return Value.is_number_integer() &&
         std::abs(Value.get<double>()) <= MaxNanoseconds;
}

} // namespace

std::string encodeLoadNotice(const LoadNotice &Notice) {
  json Value = json::array(
      {Notice.Name, Notice.Incarnation, Notice.Region, Notice.MadeAt.count()});
  if (Notice.Distressed)
    Value.push_back(Notice.Distressed->count());
  return encodeBody(Value);
}

Outcome<LoadNotice> decodeLoadNotice(const std::string &Body) {
  const auto Value = decodeBody(Body);
  if (!Value || !Value->is_array() || Value->size() < 4 || Value->size() > 5 ||
      !(*Value)[0].is_string() || !(*Value)[1].is_string() ||
      !(*Value)[2].is_string())
    return failure(Errc::Malformed);
  LoadNotice Notice{(*Value)[0].get<std::string>(),
                    (*Value)[1].get<std::string>(),
                    (*Value)[2].get<std::string>(),
                    {},
                    {}};
  for (std::size_t Index = 3; Index < Value->size(); ++Index)
    if (!isTime((*Value)[Index]))
      return failure(Errc::Malformed);
  Notice.MadeAt = Clock::duration((*Value)[3].get<Clock::rep>());
  if (Value->size() == 5)
    Notice.Distressed = Clock::duration((*Value)[4].get<Clock::rep>());
  return Notice;
}

} // namespace rr
