#ifndef REDWINGRACK_LOOKUP_ENTRYANSWER_H
#define REDWINGRACK_LOOKUP_ENTRYANSWER_H

#include "lookup/EntryInstance.h"

#include <chrono>
#include <vector>

namespace rr {

/// Instances for a caller to try, in this order.
struct EntryAnswer {
  std::vector<const EntryInstance *> Instances;
  /// Time for which the caller may keep the answer.
  std::chrono::seconds MaxAge{10};
};

} // namespace rr

#endif // REDWINGRACK_LOOKUP_ENTRYANSWER_H
