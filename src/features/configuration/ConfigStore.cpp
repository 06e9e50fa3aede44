#include "configuration/ConfigStore.h"

#include "base/Digest.h"
#include "logging/EventLog.h"
#include "model/FleetConfigJson.h"

#include <utility>
#include <vector>

namespace rr {

Outcome<bool> ConfigStore::adopt(std::uint64_t Version, const std::string &Hash,
                                 std::string Text) {
  if (Version <= this->Current.Version)
    return false;
  if (sha256Hex(Text) != Hash)
    return this->reject(Version, Hash);
  std::vector<std::string> Problems;
  auto Parsed = parseFleetConfig(Text, Problems);
  if (!Parsed || Parsed->Version != Version)
    return this->reject(Version, Hash);
  this->Current = {Version, Hash,
                   std::make_shared<const std::string>(std::move(Text)),
                   std::make_shared<const FleetConfig>(std::move(*Parsed))};
  return true;
}

Outcome<bool> ConfigStore::reject(std::uint64_t Version,
                                  const std::string &Hash) {
  if (Hash != this->RejectedHash)
    logEvent(Event::ConfigurationRejected,
             {{"version", std::to_string(Version)}});
  this->RejectedHash = Hash;
  return failure(Errc::Malformed);
}

asio::awaitable<Outcome<bool>>
ConfigStore::adoptFromStore(const Platform &Store, ControlHead Head) {
  if (Head.Versions.Config <= this->Current.Version)
    co_return false;
  auto Text = co_await Store.GetObject(Head.ConfigObject);
  if (!Text)
    co_return tl::unexpected<std::error_code>(Text.error());
  co_return this->adopt(Head.Versions.Config, Head.ConfigHash,
                        std::move(*Text));
}

} // namespace rr
