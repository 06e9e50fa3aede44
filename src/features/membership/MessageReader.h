#ifndef REDWINGRACK_MEMBERSHIP_MESSAGEREADER_H
#define REDWINGRACK_MEMBERSHIP_MESSAGEREADER_H

#include "base/Clock.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace rr {

/// Reads a message of another instance. The first member that is missing, of
/// the wrong type or out of bounds fails the whole message. Unknown members
/// are skipped, so that releases with more members can run side by side.
class MessageReader {
public:
  static constexpr std::size_t MostNameBytes = 256;

  explicit MessageReader(const nlohmann::json &Object);
  MessageReader(const MessageReader &) = delete;
  MessageReader &operator=(const MessageReader &) = delete;

  /// False after the first mistake.
  bool isGood() const { return *this->Good; }
  void fail() { *this->Good = false; }

  std::string text(const char *Key, std::size_t MostBytes = MostNameBytes);
  /// A text of at least one character.
  std::string name(const char *Key);
  std::uint64_t count(const char *Key);
  bool flag(const char *Key);
  /// Milliseconds, from zero to one day.
  Clock::duration age(const char *Key);
  /// A member that is an object; an empty one on failure.
  MessageReader object(const char *Key);
  bool has(const char *Key) const;
  /// Names of all members, at most \p Most.
  std::vector<std::string> keys(std::size_t Most);

  /// Reads each object of a list of at most \p Most.
  template <typename T>
  std::vector<T> list(const char *Key, std::size_t Most,
                      T (*ReadItem)(MessageReader &)) {
    std::vector<T> Result;
    for (const nlohmann::json &Item : this->array(Key, Most)) {
      MessageReader Reader(Item, *this);
      Result.push_back(ReadItem(Reader));
      if (!this->isGood())
        break;
    }
    return Result;
  }
  std::vector<std::string> names(const char *Key, std::size_t Most);
  /// An object whose members are finite numbers of at least zero.
  std::map<std::string, double> numbers(const char *Key, std::size_t Most);

private:
  MessageReader(const nlohmann::json &Object, const MessageReader &Outer);
  const nlohmann::json *member(const char *Key);
  const nlohmann::json &array(const char *Key, std::size_t Most);

  const nlohmann::json *Object;
  bool OwnGood = true;
  bool *Good;
};

/// Age for a message: milliseconds, rounded up, at most one day.
std::uint64_t encodeAge(Clock::duration Age);

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_MESSAGEREADER_H
