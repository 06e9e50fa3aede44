#ifndef REDWINGRACK_GATEWAY_OPERATORORDER_H
#define REDWINGRACK_GATEWAY_OPERATORORDER_H

#include "steering/SteeringConfig.h"
#include "steering/VersionOrder.h"

#include <memory>
#include <string>
#include <variant>

namespace rr {

/// An order to send nothing to an availability zone.
struct EvacuationOrder {
  std::string Zone;
};

/// Decoded row of the operator's table. std::monostate for rows that this
/// program does not use.
using OperatorOrder =
    std::variant<std::monostate, std::shared_ptr<const SteeringConfig>,
                 VersionOrder, EvacuationOrder>;

} // namespace rr

#endif // REDWINGRACK_GATEWAY_OPERATORORDER_H
