#ifndef REDWINGRACK_SETTINGS_TOMLREADER_H
#define REDWINGRACK_SETTINGS_TOMLREADER_H

#include "settings/Diagnostics.h"

#include <toml++/toml.h>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace rr {

/// Reads the keys of one TOML table and reports every error with its line. Keys
/// that are absent leave their target unchanged.
class TomlReader {
public:
  /// \p Table is null when the file does not contain it. \p Path is the name of
  /// the table and \p File that of the file, for error messages.
  TomlReader(const toml::table *Table, std::string Path, std::string File,
             Diagnostics &Errors);

  void readString(const char *Key, std::string &Target, bool Required = false);
  void readStrings(const char *Key, std::vector<std::string> &Target);
  /// The same for a list whose elements are strings or lists of strings.
  void readNestedStrings(const char *Key, std::vector<std::string> &Target);
  void readCount(const char *Key, std::uint64_t &Target, std::uint64_t Minimum);
  /// Reads an integer number of milliseconds, at least 1.
  void readMilliseconds(const char *Key, std::chrono::milliseconds &Target);
  /// Reads a number of seconds above 0, which may have a fraction.
  void readSeconds(const char *Key, std::chrono::nanoseconds &Target);
  /// Reads a floating-point number of at least \p Minimum.
  void readNumber(const char *Key, double &Target, double Minimum);
  void readBool(const char *Key, bool &Target);

  /// Adds an error that says what \p Key was expected to contain.
  void reportError(const char *Key, const std::string &Expected);
  /// Reports every key of the table that has not been read.
  void reportUnknownKeys();

private:
  const toml::node *findKey(const char *Key);

  const toml::table *Table;
  std::string Path;
  std::string File;
  Diagnostics &Errors;
  std::set<std::string> ReadKeys;
};

} // namespace rr

#endif // REDWINGRACK_SETTINGS_TOMLREADER_H
