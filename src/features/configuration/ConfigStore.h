#ifndef REDWINGRACK_CONFIGURATION_CONFIGSTORE_H
#define REDWINGRACK_CONFIGURATION_CONFIGSTORE_H

#include "base/Outcome.h"
#include "configuration/ConfigCopy.h"
#include "configuration/HeadView.h"

#include <string>

namespace rr {

/// Holds the configuration that this instance has in force.
class ConfigStore {
public:
  const ConfigCopy &current() const { return this->Current; }
  std::uint64_t version() const { return this->Current.Version; }

  /// Adopts a configuration received from the store or a peer. Returns false if
  /// it is not newer than the current one, and Errc::Malformed if the hash does
  /// not match, the version differs or the contents are invalid.
  Outcome<bool> adopt(std::uint64_t Version, const std::string &Hash,
                      std::string Text);

  /// Reads the configuration that \p Head refers to from the store and adopts
  /// it. Returns false, without a read, if it is not newer than the current
  /// one; otherwise as adopt(), or the error of the read.
  asio::awaitable<Outcome<bool>> adoptFromStore(const Platform &Store,
                                                ControlHead Head);

private:
  /// Returns Errc::Malformed. Logs only if the hash differs from that of the
  /// last rejected configuration, since the same one is offered repeatedly.
  Outcome<bool> reject(std::uint64_t Version, const std::string &Hash);

  ConfigCopy Current;
  std::string RejectedHash;
};

} // namespace rr

#endif // REDWINGRACK_CONFIGURATION_CONFIGSTORE_H
