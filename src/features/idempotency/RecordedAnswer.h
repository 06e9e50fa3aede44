#ifndef REDWINGRACK_IDEMPOTENCY_RECORDEDANSWER_H
#define REDWINGRACK_IDEMPOTENCY_RECORDEDANSWER_H

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace rr {

/// Answer that a repeat of the request gets.
struct RecordedAnswer {
  static constexpr std::size_t MaxBodyBytes = std::size_t{64} << 10;
  /// Names and values together.
  static constexpr std::size_t MaxHeaderBytes = std::size_t{16} << 10;

  int Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
};

} // namespace rr

#endif // REDWINGRACK_IDEMPOTENCY_RECORDEDANSWER_H
