#ifndef REDWINGRACK_STEERING_NETWORKTIMES_H
#define REDWINGRACK_STEERING_NETWORKTIMES_H

#include "base/Clock.h"

#include <map>
#include <string>

namespace rr {

/// Round trips to the availability zones, learned from TCP handshakes.
class NetworkTimes {
public:
  NetworkTimes(std::string Zone, std::string Region)
      : Zone(std::move(Zone)), Region(std::move(Region)) {}

  const std::string &zone() const { return this->Zone; }
  const std::string &region() const { return this->Region; }

  Clock::duration roundTrip(const std::string &ToZone,
                            const std::string &ToRegion) const;
  void note(const std::string &ToZone, Clock::duration Handshake);

private:
  std::string Zone;
  std::string Region;
  std::map<std::string, Clock::duration> Known;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_NETWORKTIMES_H
