#ifndef REDWINGRACK_LOOKUP_BLOCKCHANGE_H
#define REDWINGRACK_LOOKUP_BLOCKCHANGE_H

#include "lookup/IpPrefix.h"

#include <cstdint>
#include <optional>

namespace rr {

/// Adds or replaces a client block, or removes it when SiteList is empty.
struct BlockChange {
  IpPrefix Prefix;
  std::optional<std::uint32_t> SiteList;
};

} // namespace rr

#endif // REDWINGRACK_LOOKUP_BLOCKCHANGE_H
