#ifndef REDWINGRACK_LIMITS_GRANTDEDUPLICATOR_H
#define REDWINGRACK_LIMITS_GRANTDEDUPLICATOR_H

#include "limits/ShareHolder.h"

#include <map>
#include <set>

namespace rr {

/// Detects duplicate grants in bounded memory. Grants that are too old to be
/// distinguished from duplicates are treated as duplicates: losing shares is
/// safe, adding them twice is not.
class GrantDeduplicator {
public:
  /// Records a grant. Returns true exactly once per pair of giver and sequence
  /// number.
  bool insert(const ShareHolder &Giver, std::uint64_t Sequence);
  void clear() { this->Givers.clear(); }

private:
  struct Window {
    /// All sequence numbers up to this one are treated as received.
    std::uint64_t SeenUpTo = 0;
    std::set<std::uint64_t> SeenAbove;
  };

  std::map<ShareHolder, Window> Givers;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_GRANTDEDUPLICATOR_H
