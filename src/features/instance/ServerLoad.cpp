#include "instance/ServerLoad.h"

#include <nlohmann/json.hpp>

namespace rr {

Outcome<ServerLoad> parseServerLoad(const std::string &Text) {
  const auto Body = nlohmann::json::parse(Text, nullptr, false);
  if (!Body.is_object())
    return failure(Errc::Malformed);
  const auto Running = Body.find("running");
  const auto Slots = Body.find("slots");
  if (Running == Body.end() || !Running->is_number_unsigned() ||
      Slots == Body.end() || !Slots->is_number_unsigned())
    return failure(Errc::Malformed);
  const ServerLoad Result{Running->get<std::uint64_t>(),
                          Slots->get<std::uint64_t>()};
  if (Result.Slots == 0)
    return failure(Errc::Malformed);
  return Result;
}

} // namespace rr
