#ifndef REDWINGRACK_PLANS_INTENT_H
#define REDWINGRACK_PLANS_INTENT_H

#include "plans/DeclareLost.h"
#include "plans/DrainServer.h"
#include "plans/IssueKey.h"
#include "plans/LoadDocument.h"
#include "plans/MoveTraffic.h"
#include "plans/RollOutVersion.h"
#include "plans/SetRate.h"
#include "plans/TakeOnWorkspace.h"
#include "plans/WithdrawKey.h"

#include <variant>

namespace rr {

/// What an operator asks for.
using Intent =
    std::variant<TakeOnWorkspace, MoveTraffic, DrainServer, RollOutVersion,
                 IssueKey, WithdrawKey, SetRate, DeclareLost, LoadDocument>;

} // namespace rr

#endif // REDWINGRACK_PLANS_INTENT_H
