#ifndef REDWINGRACK_GATEWAY_LOOKUPQUERY_H
#define REDWINGRACK_GATEWAY_LOOKUPQUERY_H

#include <string>

namespace rr {

/// A caller's look-up of the instances to use for a host.
struct LookupQuery {
  std::string Host;
  std::string Zone;
  std::string Region;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_LOOKUPQUERY_H
