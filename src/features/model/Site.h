#ifndef REDWINGRACK_MODEL_SITE_H
#define REDWINGRACK_MODEL_SITE_H

#include <string>

namespace rr {

/// A place that a block of clients can be sent to.
struct Site {
  std::string Name;
  std::string Zone;
};

} // namespace rr

#endif // REDWINGRACK_MODEL_SITE_H
