#ifndef REDWINGRACK_SETTINGS_DIAGNOSTICS_H
#define REDWINGRACK_SETTINGS_DIAGNOSTICS_H

#include <string>
#include <vector>

namespace rr {

/// Mistakes found in a file, each as FILE:LINE: KEY: what was expected.
struct Diagnostics {
  std::vector<std::string> Lines;
};

} // namespace rr

#endif // REDWINGRACK_SETTINGS_DIAGNOSTICS_H
