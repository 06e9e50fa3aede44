#ifndef REDWINGRACK_LIMITS_FIELDREADER_H
#define REDWINGRACK_LIMITS_FIELDREADER_H

#include "limits/ShareAmount.h"
#include "limits/ShareHolder.h"

#include <nlohmann/json.hpp>

namespace rr {

/// Reads the members of an object that came from another instance. A missing,
/// surplus, mistyped or out-of-range member makes the whole object malformed.
class FieldReader {
public:
  explicit FieldReader(const nlohmann::json &Object);

  /// A text of 1 to 256 bytes.
  std::string text(const char *Key);
  std::uint64_t count(const char *Key);
  bool flag(const char *Key);
  /// 0 to MaxAmount.
  MicroRequests amount(const char *Key);
  ShareHolder holder(const char *Key);
  /// Tokens are at most the burst.
  ShareAmount shareAmount(const char *Key);
  /// A list of at most 16,384 items; empty when malformed.
  const nlohmann::json &list(const char *Key);

  void fail() { this->WellFormed = false; }
  /// True when all members were read and were well formed.
  bool isComplete() const;

private:
  const nlohmann::json &member(const char *Key);

  const nlohmann::json &Object;
  std::size_t ReadCount = 0;
  bool WellFormed = true;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_FIELDREADER_H
