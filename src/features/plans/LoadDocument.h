#ifndef REDWINGRACK_PLANS_LOADDOCUMENT_H
#define REDWINGRACK_PLANS_LOADDOCUMENT_H

#include <string>

namespace rr {

/// Intent: replace the whole configuration.
struct LoadDocument {
  /// JSON text; its version number is replaced by the next one.
  std::string Document;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_LOADDOCUMENT_H
