#ifndef REDWINGRACK_LOOKUP_ENTRYCHOICE_H
#define REDWINGRACK_LOOKUP_ENTRYCHOICE_H

#include "lookup/EntryAnswer.h"
#include "lookup/EntryDirectory.h"

#include <span>

namespace rr {

/// Instances in an answer.
inline constexpr std::size_t MaxEntryInstances = 4;

/// Chooses the entry instances of a caller.
///
/// The order of \p Sites is the order of zones, and a region is as near as its
/// first zone. Zones without a site come last. The answer has two zones of
/// the nearest region with live instances, then one instance of each further
/// region, then what is left by distance. \p CallerHash spreads callers over
/// the instances of a zone; a caller keeps its instance while that is live.
/// The answer points into \p Directory and is empty when nothing is live.
EntryAnswer chooseEntries(const EntryDirectory &Directory,
                          std::span<const std::uint16_t> Sites,
                          std::uint64_t CallerHash);

} // namespace rr

#endif // REDWINGRACK_LOOKUP_ENTRYCHOICE_H
