#ifndef REDWINGRACK_SETTINGS_SETTINGSFILE_H
#define REDWINGRACK_SETTINGS_SETTINGSFILE_H

#include "base/Outcome.h"
#include "settings/Diagnostics.h"
#include "settings/Settings.h"

#include <string>

namespace rr {

/// Reads and checks a settings file. On failure \p Found has every mistake.
Outcome<Settings> loadSettings(const std::string &Path, Diagnostics &Found);

/// The same for text that is at hand; \p Name stands for the file.
Outcome<Settings> parseSettings(const std::string &Text,
                                const std::string &Name, Diagnostics &Found);

} // namespace rr

#endif // REDWINGRACK_SETTINGS_SETTINGSFILE_H
