#include "limits/GrantDeduplicator.h"

namespace rr {

namespace {

/// Sequence numbers remembered per giver. A giver sends a few grants per
/// second, so this covers longer than any message delay.
constexpr std::size_t MaxSequencesPerGiver = 256;
/// Givers remembered per epoch. A fleet has 1,300 instances.
constexpr std::size_t MaxGivers = 8192;

} // namespace

bool GrantDeduplicator::insert(const ShareHolder &Giver,
                               std::uint64_t Sequence) {
  if (!this->Givers.contains(Giver) && this->Givers.size() >= MaxGivers)
    return false;
  Window &Sequences = this->Givers[Giver];
  if (Sequence <= Sequences.SeenUpTo ||
      !Sequences.SeenAbove.insert(Sequence).second)
    return false;
  if (Sequences.SeenAbove.size() > MaxSequencesPerGiver) {
    Sequences.SeenUpTo = *Sequences.SeenAbove.begin();
    Sequences.SeenAbove.erase(Sequences.SeenAbove.begin());
  }
  return true;
}

} // namespace rr
