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
             Diagnostics &Found);

  void text(const char *Key, std::string &Target, bool Required = false);
  void texts(const char *Key, std::vector<std::string> &Target);
  void count(const char *Key, std::uint64_t &Target, std::uint64_t Least);
  /// A whole number of milliseconds, at least 1.
  void milliseconds(const char *Key, std::chrono::milliseconds &Target);
  /// A number of seconds, fractions allowed, above zero.
  void seconds(const char *Key, std::chrono::nanoseconds &Target);
  /// A number of at least \p Least.
  void number(const char *Key, double &Target, double Least);
  void flag(const char *Key, bool &Target);

  void problem(const char *Key, const std::string &Expected);
  /// Notes every key that no call above has read.
  void refuseUnknown();

private:
  const toml::node *find(const char *Key);

  const toml::table *Table;
  std::string Path;
  std::string File;
  Diagnostics &Found;
  std::set<std::string> Known;
};

} // namespace rr

#endif // REDWINGRACK_SETTINGS_TOMLREADER_H
