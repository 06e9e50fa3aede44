#ifndef REDWINGRACK_MODEL_JSONREADER_H
#define REDWINGRACK_MODEL_JSONREADER_H

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace rr {

/// Reads members of one JSON object and notes every mistake, so that a user
/// sees all of them at once.
class JsonReader {
public:
  JsonReader(const nlohmann::json &Object, std::string Path,
             std::vector<std::string> &Problems);

  std::string text(const char *Key);
  std::string textOr(const char *Key, const std::string &Default);
  /// A number of at least \p Minimum.
  double number(const char *Key, double Minimum);
  double numberOr(const char *Key, double Minimum, double Default);
  std::uint64_t countOr(const char *Key, std::uint64_t Minimum,
                        std::uint64_t Default);
  bool flagOr(const char *Key, bool Default);
  std::vector<std::string> texts(const char *Key);

  void reportError(const std::string &Key, const std::string &Expected);
  /// Notes every member that no call above has read.
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
