#ifndef REDWINGRACK_IDEMPOTENCY_RECORDEDANSWER_H
#define REDWINGRACK_IDEMPOTENCY_RECORDEDANSWER_H

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace rr {

/// Recorded response that is returned for repeated requests.
struct RecordedAnswer {
  static constexpr std::size_t MaxBodyBytes = std::size_t{64} << 10;
  /// Total size of header names and values.
  static constexpr std::size_t MaxHeaderBytes = std::size_t{16} << 10;

  int Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
};

} // namespace rr

#endif // REDWINGRACK_IDEMPOTENCY_RECORDEDANSWER_H
