#ifndef REDWINGRACK_LIMITS_GRANTDEDUPLICATOR_H
#define REDWINGRACK_LIMITS_GRANTDEDUPLICATOR_H

#include "limits/ShareHolder.h"

#include <map>
#include <set>

namespace rr {

/// Remembers which grants were received, in bounded memory. A grant that is
/// too old to be told from a duplicate counts as seen: it is lost rather than
/// added twice.
class GrantDeduplicator {
public:
  /// True exactly once for every pair of giver and sequence.
  bool insert(const ShareHolder &Giver, std::uint64_t Sequence);
  void clear() { this->Givers.clear(); }

private:
  struct Window {
    /// Every sequence up to this one counts as seen.
    std::uint64_t SeenUpTo = 0;
    std::set<std::uint64_t> SeenAbove;
  };

  std::map<ShareHolder, Window> Givers;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_GRANTDEDUPLICATOR_H
