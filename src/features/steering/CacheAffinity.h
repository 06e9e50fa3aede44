#ifndef REDWINGRACK_STEERING_CACHEAFFINITY_H
#define REDWINGRACK_STEERING_CACHEAFFINITY_H

#include <cstddef>

namespace rr {

/// Likelihood class that a server has an object cached. All instances of a
/// region agree on the home servers of an object. In the `Used` classes this
/// instance recently sent a request for the object to the server.
enum class CacheAffinity {
  /// Preferred server in the caller's region.
  Home,
  HomeUsed,
  /// Server that takes requests when the home server is full.
  NextHome,
  NextHomeUsed,
  Other,
  OtherUsed,
};

inline constexpr std::size_t CacheAffinityCount = 6;

} // namespace rr

#endif // REDWINGRACK_STEERING_CACHEAFFINITY_H
