#include "limits/SeenTransfers.h"

namespace rr {

namespace {

/// Sequences remembered for a giver. A giver sends a few grants a second, so
/// this spans more than any delay of a message.
constexpr std::size_t MaxSequences = 256;
/// Givers remembered in one epoch; a fleet has 1,300 instances.
constexpr std::size_t MaxGivers = 8192;

} // namespace

bool SeenTransfers::isFirst(const ShareHolder &Giver, std::uint64_t Sequence) {
  if (!this->Givers.contains(Giver) && this->Givers.size() >= MaxGivers)
    return false;
  Window &Seen = this->Givers[Giver];
  if (Sequence <= Seen.Floor || !Seen.Above.insert(Sequence).second)
    return false;
  if (Seen.Above.size() > MaxSequences) {
    Seen.Floor = *Seen.Above.begin();
    Seen.Above.erase(Seen.Above.begin());
  }
  return true;
}

} // namespace rr
