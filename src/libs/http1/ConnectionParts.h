#ifndef REDWINGRACK_HTTP1_CONNECTIONPARTS_H
#define REDWINGRACK_HTTP1_CONNECTIONPARTS_H

#include <array>
#include <cstddef>

namespace rr {

/// What the connections of a process are used for.
enum class ConnectionUse {
  /// Connections that callers opened.
  Callers,
  /// Connections to backend servers, and to instances that requests are
  /// forwarded to.
  Servers,
  /// Links to other instances.
  Peers,
  /// Connections to the store.
  Store,
  /// Look-ups, readiness probes and metrics.
  Other,
};
inline constexpr std::size_t ConnectionUseCount = 5;

/// How many connections a process may have, and how they are divided.
struct ConnectionParts {
  /// Connections at the same time, without those that are being refused.
  std::size_t Total = 0;
  /// Connections that each use can always have, by ConnectionUse. Those beyond
  /// the sum are for all uses.
  std::array<std::size_t, ConnectionUseCount> Guaranteed{};
  /// Connections of callers that are being refused at the same time.
  std::size_t Refusals = 0;
};

/// Divides the connections of a process with \p Descriptors file descriptors
/// and \p MemoryMiB MiB of memory.
ConnectionParts divideConnections(std::size_t Descriptors, double MemoryMiB);

/// The number of file descriptors that this process may open: \p Configured,
/// but not more than the limit of the process; 0 stands for the latter.
std::size_t availableDescriptors(std::size_t Configured);

} // namespace rr

#endif // REDWINGRACK_HTTP1_CONNECTIONPARTS_H
