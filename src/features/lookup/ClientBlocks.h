#ifndef REDWINGRACK_LOOKUP_CLIENTBLOCKS_H
#define REDWINGRACK_LOOKUP_CLIENTBLOCKS_H

#include "lookup/BlockSet.h"
#include "lookup/BlockTable.h"
#include "lookup/SiteLists.h"

#include <string>
#include <vector>

namespace rr {

struct FleetConfig;

/// Client blocks of a configuration, ready for look-ups.
class ClientBlocks {
public:
  /// Reads the blocks and sites of \p Config. Adds a line to \p Problems for
  /// each malformed prefix and each unknown site. Errors: Malformed.
  static Outcome<ClientBlocks> fromConfig(const FleetConfig &Config,
                                          std::vector<std::string> &Problems);

  /// Sites of the longest matching block, nearest first, as positions in
  /// FleetConfig::Sites. Empty when no block matches.
  std::span<const std::uint16_t> sitesFor(const IpAddress &Address) const;

  /// Changes blocks and rebuilds the table.
  void apply(const std::vector<BlockChange> &Changes);
  SiteLists &siteLists() { return this->Lists; }
  std::size_t memoryBytes() const;

private:
  SiteLists Lists;
  BlockSet Blocks;
  BlockTable Table;
};

} // namespace rr

#endif // REDWINGRACK_LOOKUP_CLIENTBLOCKS_H
