#ifndef REDWINGRACK_STEERING_CACHEAFFINITY_H
#define REDWINGRACK_STEERING_CACHEAFFINITY_H

#include <cstddef>

namespace rr {

/// What this instance knows of an object at a server, from which it estimates
/// whether the server has it cached. All instances of a region agree on the
/// homes of an object. Used: this instance sent a request for the object there
/// lately.
enum class CacheAffinity {
  /// First choice in the caller's region.
  Home,
  HomeUsed,
  /// Where requests go that the first choice has no room for.
  NextHome,
  NextHomeUsed,
  Other,
  OtherUsed,
};

inline constexpr std::size_t CacheAffinityCount = 6;

} // namespace rr

#endif // REDWINGRACK_STEERING_CACHEAFFINITY_H
