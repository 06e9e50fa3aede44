#ifndef REDWINGRACK_PLATFORM_PLATFORM_H
#define REDWINGRACK_PLATFORM_PLATFORM_H

#include "base/Outcome.h"
#include "platform/InstanceRecord.h"
#include "platform/Row.h"
#include "platform/Transaction.h"

#include <asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rr {

/// The platform's services as functions, so that tests and other platforms
/// put their own in place. Each makes one attempt and returns
/// Errc::Unavailable when the call certainly had no effect and Errc::Unknown
/// when a write may have taken effect although no answer came.
struct Platform {
  std::function<asio::awaitable<Outcome<std::optional<Row>>>(std::string Key)>
      ReadRow;
  /// Rows whose key starts with the prefix and sorts after \p After, in key
  /// order, at most \p Limit.
  std::function<asio::awaitable<Outcome<std::vector<Row>>>(
      std::string Prefix, std::string After, std::size_t Limit)>
      ListRows;
  /// Errc::Conflict when a condition of the transaction does not hold.
  std::function<asio::awaitable<Outcome<void>>(Transaction Writes)> Commit;
  std::function<asio::awaitable<Outcome<std::string>>(std::string Name)>
      GetObject;
  std::function<asio::awaitable<Outcome<void>>(std::string Name,
                                               std::string Data)>
      PutObject;
  std::function<asio::awaitable<Outcome<std::vector<InstanceRecord>>>()>
      ListInstances;
  std::function<asio::awaitable<Outcome<void>>(InstanceRecord Self)>
      AnnounceInstance;
};

} // namespace rr

#endif // REDWINGRACK_PLATFORM_PLATFORM_H
