#ifndef REDWINGRACK_STEERING_ROUNDTRIPTIMES_H
#define REDWINGRACK_STEERING_ROUNDTRIPTIMES_H

#include "base/Clock.h"

#include <map>
#include <string>

namespace rr {

/// Round-trip times to the availability zones, smoothed from TCP handshakes.
class RoundTripTimes {
public:
  RoundTripTimes(std::string Zone, std::string Region)
      : Zone(std::move(Zone)), Region(std::move(Region)) {}

  const std::string &zone() const { return this->Zone; }
  const std::string &region() const { return this->Region; }

  Clock::duration roundTrip(const std::string &ToZone,
                            const std::string &ToRegion) const;
  void recordHandshake(const std::string &ToZone, Clock::duration Handshake);

private:
  std::string Zone;
  std::string Region;
  std::map<std::string, Clock::duration> RoundTrips;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_ROUNDTRIPTIMES_H
