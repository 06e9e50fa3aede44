#ifndef REDWINGRACK_MODEL_SITE_H
#define REDWINGRACK_MODEL_SITE_H

#include <string>

namespace rr {

/// A location in an availability zone that client blocks can be directed to.
struct Site {
  std::string Name;
  std::string Zone;
};

} // namespace rr

#endif // REDWINGRACK_MODEL_SITE_H
