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

/// The backend servers known to this instance, with its own observations of
/// each. A restarted server gets a new BackendState.
class BackendPool {
public:
  /// \p Regions gives the region of each availability zone.
  explicit BackendPool(std::map<std::string, std::string> Regions);

  /// Applies an entry just read from the store. Returns the previous state when
  /// the entry has another incarnation, address, service or version, otherwise
  /// null.
  BackendPtr apply(const BackendRecord &Record, Clock::time_point Now);
  /// Removes a server whose entry was deleted. Returns its state, or null if
  /// the server is unknown.
  BackendPtr remove(const std::string &Id);

  const std::vector<BackendPtr> &
  serversForService(const std::string &Service) const;
  std::vector<BackendPtr> all() const;
  BackendPtr find(const std::string &Id) const;
  std::vector<std::string> ids() const;
  /// Versions of a service's servers.
  std::set<std::string> versions(const std::string &Service) const;

  /// Changes whenever a server of the service is added or removed, or its entry
  /// changes in a way that decides for which requests it is eligible.
  std::uint64_t generation(const std::string &Service) const;

  /// Marks a zone's servers as possibly cold until their next entry.
  void markMaybeCold(const std::string &Zone);

private:
  void unlink(const BackendPtr &State);

  std::map<std::string, std::uint64_t> Generations;
  std::map<std::string, std::string> Regions;
  std::map<std::string, BackendPtr> ById;
  std::map<std::string, std::vector<BackendPtr>> ByService;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_BACKENDPOOL_H
