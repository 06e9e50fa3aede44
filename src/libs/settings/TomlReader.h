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

/// Reads the keys of one TOML table and notes every mistake with its place.
class TomlReader {
public:
  /// \p Table may be null when the file does not have it.
  TomlReader(const toml::table *Table, std::string Path, std::string File,
             Diagnostics &Errors);

  void readString(const char *Key, std::string &Target, bool Required = false);
  void readStrings(const char *Key, std::vector<std::string> &Target);
  void readCount(const char *Key, std::uint64_t &Target, std::uint64_t Minimum);
  /// A whole number of milliseconds, at least 1.
  void readMilliseconds(const char *Key, std::chrono::milliseconds &Target);
  /// A number of seconds, fractions allowed, above zero.
  void readSeconds(const char *Key, std::chrono::nanoseconds &Target);
  /// A number of at least \p Minimum.
  void readNumber(const char *Key, double &Target, double Minimum);
  void readBool(const char *Key, bool &Target);

  void reportError(const char *Key, const std::string &Expected);
  /// Notes every key that no call above has read.
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
