#ifndef REDWINGRACK_GATEWAY_ORDERREGISTRY_H
#define REDWINGRACK_GATEWAY_ORDERREGISTRY_H

#include "gateway/PlatformCodec.h"
#include "gateway/SteeringState.h"
#include "tables/TableRows.h"

#include <functional>
#include <map>
#include <string>

namespace rr {

/// Applies the rows of the operator's table: configurations, orders to move to
/// a version and evacuations.
class OrderRegistry {
public:
  OrderRegistry(SteeringState &State, const PlatformCodec &Codec);

  void applySnapshot(const TableRows &Rows);
  void applyChanges(const TableRows &Rows);
  /// Records that all orders up to \p AsOf on bootTime() have been applied, and
  /// extends the time for which keys are valid.
  void confirmReadUntil(Clock::time_point AsOf);

  /// Sets a handler that is called after a configuration was adopted.
  void onConfiguration(std::function<void(const SteeringConfig &)> Handler) {
    this->ConfigurationAdopted = std::move(Handler);
  }

private:
  void apply(const TableRow &Row);
  void adoptConfiguration(std::shared_ptr<const SteeringConfig> Config);
  void endEvacuation(const std::string &Key);

  SteeringState &State;
  const PlatformCodec &Codec;
  /// Evacuated zones, by the key of the row with the order.
  std::map<std::string, std::string> Evacuations;
  std::function<void(const SteeringConfig &)> ConfigurationAdopted;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_ORDERREGISTRY_H
