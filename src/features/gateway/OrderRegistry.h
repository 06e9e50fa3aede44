#ifndef REDWINGRACK_GATEWAY_ORDERREGISTRY_H
#define REDWINGRACK_GATEWAY_ORDERREGISTRY_H

#include "gateway/PlatformCodec.h"
#include "gateway/SteeringState.h"
#include "tables/TableRows.h"

#include <functional>
#include <map>
#include <string>

namespace rr {

/// Applies the operator's rows: configurations, moves between versions and
/// evacuations.
class OrderRegistry {
public:
  OrderRegistry(SteeringState &State, const PlatformCodec &Codec);

  void applySnapshot(const TableRows &Rows);
  void applyChanges(const TableRows &Rows);
  void confirmReadUntil(Clock::time_point AsOf);

  void onConfiguration(std::function<void(const SteeringConfig &)> Handler) {
    this->ConfigurationAdopted = std::move(Handler);
  }

private:
  void apply(const TableRow &Row);
  void adoptConfiguration(std::shared_ptr<const SteeringConfig> Config);
  void endEvacuation(const std::string &Key);

  SteeringState &State;
  const PlatformCodec &Codec;
  /// Zone by the key of the row that ordered its evacuation.
  std::map<std::string, std::string> Evacuations;
  std::function<void(const SteeringConfig &)> ConfigurationAdopted;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_ORDERREGISTRY_H
