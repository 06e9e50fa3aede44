#ifndef REDWINGRACK_LIMITS_FIELDREADER_H
#define REDWINGRACK_LIMITS_FIELDREADER_H

#include "limits/ShareAmount.h"
#include "limits/ShareHolder.h"

#include <nlohmann/json.hpp>

namespace rr {

/// Reads the members of a JSON object received from another instance. The whole
/// object is malformed if a member is missing, unexpected, of the wrong type or
/// out of range.
class FieldReader {
public:
  explicit FieldReader(const nlohmann::json &Object);

  /// A string of 1 to 256 bytes.
  std::string text(const char *Key);
  std::uint64_t count(const char *Key);
  bool flag(const char *Key);
  /// A value from 0 to MaxAmount.
  MicroRequests amount(const char *Key);
  ShareHolder holder(const char *Key);
  /// Malformed if the tokens exceed the burst.
  ShareAmount shareAmount(const char *Key);
  /// A list of at most 16,384 items; returns an empty list if malformed.
  const nlohmann::json &list(const char *Key);

  void fail() { this->WellFormed = false; }
  /// True if the object has no other members than those read and all are
  /// well-formed.
  bool isComplete() const;

private:
  const nlohmann::json &member(const char *Key);

  const nlohmann::json &Object;
  std::size_t ReadCount = 0;
  bool WellFormed = true;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_FIELDREADER_H
