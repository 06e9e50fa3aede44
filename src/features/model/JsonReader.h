#ifndef REDWINGRACK_MODEL_JSONREADER_H
#define REDWINGRACK_MODEL_JSONREADER_H

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace rr {

/// Reads the members of a JSON object and collects all errors in a list, so
/// that a user sees all of them at once. After an error, the functions return
/// an empty value, the default or the minimum.
class JsonReader {
public:
  JsonReader(const nlohmann::json &Object, std::string Path,
             std::vector<std::string> &Problems);

  /// A required string that is not empty.
  std::string text(const char *Key);
  std::string textOr(const char *Key, const std::string &Default);
  /// A required number of at least \p Minimum.
  double number(const char *Key, double Minimum);
  double numberOr(const char *Key, double Minimum, double Default);
  std::uint64_t countOr(const char *Key, std::uint64_t Minimum,
                        std::uint64_t Default);
  bool flagOr(const char *Key, bool Default);
  /// A required list of strings that is not empty.
  std::vector<std::string> texts(const char *Key);

  /// Adds the error that \p Key was not as \p Expected.
  void reportError(const std::string &Key, const std::string &Expected);
  /// Adds an error for each member that none of the functions above has read.
  void reportUnknownMembers();

private:
  const nlohmann::json *member(const char *Key);

  const nlohmann::json &Object;
  std::string Path;
  std::vector<std::string> &Problems;
  std::vector<std::string> ReadKeys;
};

} // namespace rr

#endif // REDWINGRACK_MODEL_JSONREADER_H
