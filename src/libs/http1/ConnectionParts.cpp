#include "http1/ConnectionParts.h"

#include <sys/resource.h>

#include <algorithm>
#include <numeric>

namespace rr {

namespace {

/// Files, listeners, timers and library descriptors.
constexpr std::size_t ReservedDescriptors = 200;
/// Memory of a connection with a request in progress: a connection of a caller
/// and the one to its server took 16 KiB together with 1.3 KiB of request, and
/// the state of the request is allowed 4 KiB.
constexpr double ConnectionBytes = 10 * 1024;
/// A sixth of the memory is for bodies, which are copied several times, and
/// 64 MB are for control work.
constexpr double ConnectionMemoryShare = 0.25;
constexpr double Mebibyte = 1 << 20;
/// Without a limit of the process, about as many as two cores can serve.
constexpr std::size_t MaxDescriptors = std::size_t{1} << 16;
/// Each request in progress has one connection of a caller and at most one to a
/// server, and callers also keep idle ones.
constexpr double CallerShare = 0.5;
constexpr double ServerShare = 0.2;
/// An instance that allocates rates has links to all instances of its region.
constexpr double PeerShare = 0.05;
/// The client of the store opens 4; as many may still be closing.
constexpr std::size_t StoreConnections = 8;
constexpr double OtherShare = 0.025;
constexpr std::size_t MinOther = 16;
/// A refusal takes one or two round trips, a request about a second.
constexpr double RefusalShare = 0.04;
constexpr std::size_t MinRefusals = 8;

std::size_t partOf(std::size_t Total, double Share) {
  return std::size_t(double(Total) * Share);
}

} // namespace

ConnectionParts divideConnections(std::size_t Descriptors, double MemoryMiB) {
  // Even a process with a very low limit serves some callers.
  const std::size_t Usable = Descriptors > 2 * ReservedDescriptors
                                 ? Descriptors - ReservedDescriptors
                                 : Descriptors / 2;
  const std::size_t ByMemory = std::size_t(
      MemoryMiB * Mebibyte * ConnectionMemoryShare / ConnectionBytes);
  const std::size_t All = std::max<std::size_t>(std::min(Usable, ByMemory), 64);
  ConnectionParts Parts;
  Parts.Refusals = std::max(MinRefusals, partOf(All, RefusalShare));
  Parts.Total = All - Parts.Refusals;
  const auto Set = [&Parts](ConnectionUse Use, std::size_t Count) {
    Parts.Guaranteed[std::size_t(Use)] = Count;
  };
  Set(ConnectionUse::Store, StoreConnections);
  Set(ConnectionUse::Other, std::max(MinOther, partOf(All, OtherShare)));
  const std::size_t Rest =
      Parts.Total - std::accumulate(Parts.Guaranteed.begin(),
                                    Parts.Guaranteed.end(), std::size_t{0});
  Set(ConnectionUse::Callers, partOf(Rest, CallerShare));
  Set(ConnectionUse::Servers, partOf(Rest, ServerShare));
  Set(ConnectionUse::Peers, partOf(Rest, PeerShare));
  return Parts;
}

std::size_t availableDescriptors(std::size_t Configured) {
  rlimit Limit{};
  std::size_t OfProcess = MaxDescriptors;
  if (::getrlimit(RLIMIT_NOFILE, &Limit) == 0 &&
      Limit.rlim_cur != RLIM_INFINITY)
    OfProcess = std::min(OfProcess, std::size_t(Limit.rlim_cur));
  return Configured == 0 ? OfProcess : std::min(OfProcess, Configured);
}

} // namespace rr
