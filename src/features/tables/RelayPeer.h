#ifndef REDWINGRACK_TABLES_RELAYPEER_H
#define REDWINGRACK_TABLES_RELAYPEER_H

#include <string>

namespace rr {

/// Another instance through which this one reads a table.
struct RelayPeer {
  std::string Name;
  /// Address of its peer listener, IP:PORT.
  std::string Address;

  bool operator==(const RelayPeer &) const = default;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_RELAYPEER_H
