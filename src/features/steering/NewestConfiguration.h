#ifndef REDWINGRACK_STEERING_NEWESTCONFIGURATION_H
#define REDWINGRACK_STEERING_NEWESTCONFIGURATION_H

#include "base/Clock.h"

#include <cstdint>

namespace rr {

/// The newest version of the configuration that other instances were seen to
/// use, in their answers or rows. Callers must not be answered by an older one
/// afterwards. All times are of a clock that includes suspension.
class NewestConfiguration {
public:
  /// Records that another instance uses \p Version. True if it is newer than
  /// all before.
  bool record(std::uint64_t Version, Clock::time_point Now) {
    if (Version <= this->Newest)
      return false;
    this->Newest = Version;
    this->SeenAt = Now;
    return true;
  }

  std::uint64_t version() const { return this->Newest; }

  /// Whether an instance that uses the configuration \p Own must not answer by
  /// it. It may again when it knows all orders up to \p OrdersReadAt, not
  /// before the newer version was seen: if \p Own is older even then, the
  /// operator has withdrawn the newer one.
  bool isNewerThan(std::uint64_t Own, Clock::time_point OrdersReadAt) const {
    return Own < this->Newest && OrdersReadAt < this->SeenAt;
  }

private:
  std::uint64_t Newest = 0;
  Clock::time_point SeenAt{};
};

} // namespace rr

#endif // REDWINGRACK_STEERING_NEWESTCONFIGURATION_H
