#ifndef REDWINGRACK_CONFIGURATION_CONFIGSTORE_H
#define REDWINGRACK_CONFIGURATION_CONFIGSTORE_H

#include "base/Outcome.h"
#include "configuration/ConfigCopy.h"
#include "configuration/HeadView.h"

#include <string>

namespace rr {

/// The configuration that this instance has in force.
class ConfigStore {
public:
  const ConfigCopy &current() const { return this->Current; }
  std::uint64_t version() const { return this->Current.Version; }

  /// Takes a configuration from the store or from a peer. True when it was
  /// adopted, false when it is not newer than the current one.
  /// Errc::Malformed when hash, version or contents are wrong.
  Outcome<bool> adopt(std::uint64_t Version, const std::string &Hash,
                      std::string Text);

  /// Gets and adopts the configuration that \p Head names, when newer.
  asio::awaitable<Outcome<bool>> adoptFromStore(const Platform &Store,
                                                ControlHead Head);

private:
  /// Logs a refused configuration once, although it is offered again and
  /// again.
  Outcome<bool> reject(std::uint64_t Version, const std::string &Hash);

  ConfigCopy Current;
  std::string RejectedHash;
};

} // namespace rr

#endif // REDWINGRACK_CONFIGURATION_CONFIGSTORE_H
