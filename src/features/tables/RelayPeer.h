#ifndef REDWINGRACK_TABLES_RELAYPEER_H
#define REDWINGRACK_TABLES_RELAYPEER_H

#include <string>

namespace rr {

/// Another instance that reads a table for this one.
struct RelayPeer {
  std::string Name;
  /// Of its peer port, IP:PORT.
  std::string Address;

  bool operator==(const RelayPeer &) const = default;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_RELAYPEER_H
