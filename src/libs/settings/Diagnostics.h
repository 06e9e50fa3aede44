#ifndef REDWINGRACK_SETTINGS_DIAGNOSTICS_H
#define REDWINGRACK_SETTINGS_DIAGNOSTICS_H

#include <string>
#include <vector>

namespace rr {

/// Errors found in a file, one per line, each with the file name and, where
/// known, the line, the key and what was expected.
struct Diagnostics {
  std::vector<std::string> Lines;
};

} // namespace rr

#endif // REDWINGRACK_SETTINGS_DIAGNOSTICS_H
