#ifndef REDWINGRACK_SETTINGS_SETTINGSFILE_H
#define REDWINGRACK_SETTINGS_SETTINGSFILE_H

#include "base/Outcome.h"
#include "settings/Diagnostics.h"
#include "settings/Settings.h"

#include <string>

namespace rr {

/// Reads and checks a settings file. On failure \p Errors has every mistake.
Outcome<Settings> loadSettings(const std::string &Path, Diagnostics &Errors);

/// The same for text that is at hand; \p Name stands for the file.
Outcome<Settings> parseSettings(const std::string &Text,
                                const std::string &Name, Diagnostics &Errors);

} // namespace rr

#endif // REDWINGRACK_SETTINGS_SETTINGSFILE_H
