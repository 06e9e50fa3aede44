#ifndef REDWINGRACK_SETTINGS_SETTINGSFILE_H
#define REDWINGRACK_SETTINGS_SETTINGSFILE_H

#include "base/Outcome.h"
#include "settings/Diagnostics.h"
#include "settings/Settings.h"

#include <string>

namespace rr {

/// Reads and validates a settings file. On failure \p Errors lists every error.
/// Errc::NotFound when the file cannot be read, Errc::Malformed otherwise.
Outcome<Settings> loadSettings(const std::string &Path, Diagnostics &Errors);

/// The same for the contents of a file. \p Name is the file name shown in
/// errors.
Outcome<Settings> parseSettings(const std::string &Text,
                                const std::string &Name, Diagnostics &Errors);

} // namespace rr

#endif // REDWINGRACK_SETTINGS_SETTINGSFILE_H
