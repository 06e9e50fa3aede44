#ifndef REDWINGRACK_ROUTING_OWNERMEMBER_H
#define REDWINGRACK_ROUTING_OWNERMEMBER_H

#include <string>

namespace rr {

/// A live instance that can own backend servers.
struct OwnerMember {
  std::string Name;
  std::string Zone;
  std::string Region;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_OWNERMEMBER_H
