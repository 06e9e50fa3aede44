#include "steering/NetworkTimes.h"

#include <algorithm>

namespace rr {

namespace {

/// Until a handshake was seen; ordinary figures for one site, one metropolitan
/// area and one continent.
constexpr Clock::duration FirstSameZone = std::chrono::microseconds(500);
constexpr Clock::duration FirstSameRegion = std::chrono::milliseconds(3);
constexpr Clock::duration FirstOtherRegion = std::chrono::milliseconds(50);
/// A handshake that takes longer says more about the server than the path.
constexpr Clock::duration LongestHandshake = std::chrono::milliseconds(250);

} // namespace

Clock::duration NetworkTimes::roundTrip(const std::string &ToZone,
                                        const std::string &ToRegion) const {
  const auto Found = this->Known.find(ToZone);
  if (Found != this->Known.end())
    return Found->second;
  if (ToZone == this->Zone)
    return FirstSameZone;
  return ToRegion == this->Region ? FirstSameRegion : FirstOtherRegion;
}

void NetworkTimes::note(const std::string &ToZone, Clock::duration Handshake) {
  const Clock::duration Time = std::min(Handshake, LongestHandshake);
  const auto [Item, New] = this->Known.try_emplace(ToZone, Time);
  if (!New)
    Item->second += (Time - Item->second) / 8;
}

} // namespace rr
