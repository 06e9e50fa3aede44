#ifndef REDWINGRACK_GATEWAY_BACKENDREGISTRY_H
#define REDWINGRACK_GATEWAY_BACKENDREGISTRY_H

#include "gateway/PlatformCodec.h"
#include "gateway/SteeringState.h"
#include "tables/TableRows.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace rr {

/// Applies the entries that backend servers write about themselves.
class BackendRegistry {
public:
  BackendRegistry(SteeringState &State, const PlatformCodec &Codec);

  /// \p Settling: the store was away, and entries that lapsed meanwhile may
  /// come back.
  void applySnapshot(const TableRows &Rows, bool Settling,
                     Clock::time_point Now);
  void applyChanges(const TableRows &Rows, bool Settling,
                    Clock::time_point Now);
  /// Removes the servers whose entries did not come back.
  void settle(bool Settling);

  /// Runs for each address whose server has left or was replaced.
  void onLeft(std::function<void(const std::string &Address)> Handler) {
    this->Left = std::move(Handler);
  }

private:
  void apply(const TableRow &Row, bool Settling, Clock::time_point Now);
  void remove(const std::string &Id, bool Settling);

  SteeringState &State;
  const PlatformCodec &Codec;
  std::set<std::string> Missing;
  std::set<std::string> Ignored;
  std::function<void(const std::string &Address)> Left;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_BACKENDREGISTRY_H
