#ifndef REDWINGRACK_GATEWAY_LOOKUPQUERY_H
#define REDWINGRACK_GATEWAY_LOOKUPQUERY_H

#include <string>

namespace rr {

/// A caller's question which instances to use.
struct LookupQuery {
  std::string Host;
  std::string Zone;
  std::string Region;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_LOOKUPQUERY_H
