#ifndef REDWINGRACK_GATEWAY_ORDERREGISTRY_H
#define REDWINGRACK_GATEWAY_ORDERREGISTRY_H

#include "gateway/PlatformCodec.h"
#include "gateway/RateLimitedLog.h"
#include "gateway/RestoredRows.h"
#include "gateway/SteeringState.h"
#include "tables/TableRows.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace rr {

/// Applies the rows of the operator's table: configurations, orders to move to
/// a version and evacuations. When the store comes back from an older copy,
/// known orders hold for the time in which the operator writes them again.
class OrderRegistry {
public:
  OrderRegistry(SteeringState &State, const PlatformCodec &Codec);

  void applySnapshot(const TableRows &Rows);
  void applyChanges(const TableRows &Rows);
  /// Records that all orders up to \p AsOf on bootTime() have been applied, and
  /// extends the time for which keys are valid. Does neither while the store
  /// may lack orders that were acknowledged before it came back from a copy.
  void confirmReadUntil(Clock::time_point AsOf);
  /// Whether a read that begins at \p Now, on bootTime(), would end the time in
  /// which orders of an earlier era may be missing. A read that waits for
  /// changes would end it later, and keys would cease to be valid meanwhile.
  bool isReadDue(Clock::time_point Now) const {
    return this->Restored.isRewriteOver(Now);
  }

  /// Sets a handler that is called after a configuration was adopted.
  void onConfiguration(std::function<void(const SteeringConfig &)> Handler) {
    this->ConfigurationAdopted = std::move(Handler);
  }

private:
  /// \p NewEra if the row is part of the whole read that begins an era.
  void apply(const TableRow &Row, bool NewEra);
  void applyVersionOrder(const VersionOrder &Order, const TableRow &Row,
                         bool NewEra);
  void adoptConfiguration(std::shared_ptr<const SteeringConfig> Config);
  void endEvacuation(const std::string &Key);
  void logHeld(Event Number, const std::string &Key, const std::string &Known);

  SteeringState &State;
  const PlatformCodec &Codec;
  /// Evacuated zones, by the key of the row with the order.
  std::map<std::string, std::string> Evacuations;
  /// Keys of evacuations that the store lost and that may be written again.
  std::set<std::string> MissingEvacuations;
  /// Versions of the rows with the known orders to move, by key.
  std::map<std::string, StoreVersion> VersionOrders;
  RestoredRows Restored;
  /// A configuration was written in the present era, after its first read.
  bool ConfigurationWritten = false;
  RateLimitedLog Log;
  std::function<void(const SteeringConfig &)> ConfigurationAdopted;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_ORDERREGISTRY_H
