#ifndef REDWINGRACK_PLANS_CONTROLCHANGE_H
#define REDWINGRACK_PLANS_CONTROLCHANGE_H

#include "model/FleetConfig.h"
#include "plans/ControlMark.h"
#include "plans/KeyChange.h"
#include "platform/Transaction.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace rr {

/// A change of control state that takes effect in one transaction, and only
/// from the configuration version that it was made from.
struct ControlChange {
  std::uint64_t BaseVersion = 0;
  /// Becomes version BaseVersion + 1, also when its content is the same.
  std::optional<FleetConfig> Config;
  std::optional<KeyChange> Key;
  /// Instance whose member row becomes `lost`; empty for none.
  std::string LostInstance;
  /// Further writes of the same transaction, given the versions that it
  /// creates.
  std::function<Transaction(const ControlMark &)> Extra;
  /// Row of Extra that nothing else ever writes, for commitVerified().
  std::string ProbeKey;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_CONTROLCHANGE_H
