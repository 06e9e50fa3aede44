#include "steering/RoundTripTimes.h"

#include <algorithm>

namespace rr {

namespace {

/// Defaults until a handshake was measured; typical of one site, one
/// metropolitan area and one continent.
constexpr Clock::duration DefaultSameZone = std::chrono::microseconds(500);
constexpr Clock::duration DefaultSameRegion = std::chrono::milliseconds(3);
constexpr Clock::duration DefaultOtherRegion = std::chrono::milliseconds(50);
/// Longer handshakes are caused by the server rather than the network path.
constexpr Clock::duration MaxHandshake = std::chrono::milliseconds(250);

} // namespace

Clock::duration RoundTripTimes::roundTrip(const std::string &ToZone,
                                          const std::string &ToRegion) const {
  const auto Found = this->RoundTrips.find(ToZone);
  if (Found != this->RoundTrips.end())
    return Found->second;
  if (ToZone == this->Zone)
    return DefaultSameZone;
  return ToRegion == this->Region ? DefaultSameRegion : DefaultOtherRegion;
}

void RoundTripTimes::recordHandshake(const std::string &ToZone,
                                     Clock::duration Handshake) {
  const Clock::duration Time = std::min(Handshake, MaxHandshake);
  const auto [Item, New] = this->RoundTrips.try_emplace(ToZone, Time);
  if (!New)
    Item->second += (Time - Item->second) / 8;
}

} // namespace rr
