#ifndef REDWINGRACK_HISTORY_MUTATION_H
#define REDWINGRACK_HISTORY_MUTATION_H

#include "history/History.h"
#include "history/Promise.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace rr::history {

/// A change to a correct history, for tests.
struct Mutation {
  const char *Name;
  /// The promise that it breaks; empty when the history stays correct.
  std::optional<Promise> Breaks;
  /// Changes the place that the number selects. Returns false when the history
  /// has no such place.
  std::function<bool(History &, std::uint32_t)> Apply;
};

const std::vector<Mutation> &allMutations();

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_MUTATION_H
