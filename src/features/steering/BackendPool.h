#ifndef REDWINGRACK_STEERING_BACKENDPOOL_H
#define REDWINGRACK_STEERING_BACKENDPOOL_H

#include "base/Clock.h"
#include "steering/BackendState.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rr {

using BackendPtr = std::shared_ptr<BackendState>;

/// The backend servers that this instance knows of, with what it observed of
/// each. A new incarnation of a server is a new state.
class BackendPool {
public:
  /// \p Regions gives the region of each availability zone.
  explicit BackendPool(std::map<std::string, std::string> Regions);

  /// Takes an entry that was just read. Returns the previous state when this
  /// entry is of another incarnation or address.
  BackendPtr apply(const BackendRecord &Record, Clock::time_point Now);
  /// The entry is gone. Returns the state, or null.
  BackendPtr remove(const std::string &Id);

  const std::vector<BackendPtr> &
  serversForService(const std::string &Service) const;
  std::vector<BackendPtr> all() const;
  BackendPtr find(const std::string &Id) const;
  std::vector<std::string> ids() const;
  /// Versions of a service's servers.
  std::set<std::string> versions(const std::string &Service) const;

  /// Marks a zone's servers as possibly cold until their next entry.
  void markMaybeCold(const std::string &Zone);

private:
  void unlink(const BackendPtr &State);

  std::map<std::string, std::string> Regions;
  std::map<std::string, BackendPtr> ById;
  std::map<std::string, std::vector<BackendPtr>> ByService;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_BACKENDPOOL_H
