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

/// The platform's services as functions, so that tests and other platforms can
/// provide their own. Each function makes one attempt. Errc::Unavailable means
/// that the call had no effect, Errc::Unknown that no answer arrived and a
/// write may have taken effect.
struct Platform {
  std::function<asio::awaitable<Outcome<std::optional<Row>>>(std::string Key)>
      ReadRow;
  /// The first \p Limit rows, in key order, whose key starts with \p Prefix and
  /// sorts after \p After.
  std::function<asio::awaitable<Outcome<std::vector<Row>>>(
      std::string Prefix, std::string After, std::size_t Limit)>
      ListRows;
  /// Errc::Conflict if a row does not have the version that the transaction
  /// expects.
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
