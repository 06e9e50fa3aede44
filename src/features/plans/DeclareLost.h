#ifndef REDWINGRACK_PLANS_DECLARELOST_H
#define REDWINGRACK_PLANS_DECLARELOST_H

#include <string>

namespace rr {

/// Intent: state that the process of an instance no longer runs, so that
/// nobody waits for it.
struct DeclareLost {
  std::string Instance;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_DECLARELOST_H
