#ifndef REDWINGRACK_PLANS_DEADLINEACTION_H
#define REDWINGRACK_PLANS_DEADLINEACTION_H

namespace rr {

/// What a plan does when its deadline comes before its end.
enum class DeadlineAction { TakeBack, Stop };

} // namespace rr

#endif // REDWINGRACK_PLANS_DEADLINEACTION_H
