#ifndef REDWINGRACK_STEERING_STEERINGTESTBED_H
#define REDWINGRACK_STEERING_STEERINGTESTBED_H

#include "steering/BackendPool.h"
#include "steering/MemberView.h"
#include "steering/PlacementRule.h"

#include <string>

namespace rr {

/// A sticky route to one service, for tests.
inline SteeringRoute testRoute(RouteKind Kind = RouteKind::Safe) {
  SteeringRoute Route;
  Route.Name = "route";
  Route.Kind = Kind;
  Route.TargetLatency = std::chrono::milliseconds(500);
  Route.Timeout = std::chrono::seconds(2);
  Route.MaxAttempts = 2;
  Route.Sticky = true;
  Route.Split = {{"stock", 1}};
  return Route;
}

inline BackendRecord testBackend(const std::string &Id, const std::string &Zone,
                                 int Slots = 9) {
  BackendRecord Record;
  Record.Id = Id;
  Record.Service = "stock";
  Record.Address = "10.0.0.1:" + std::to_string(1000 + Id.size());
  Record.Zone = Zone;
  Record.Version = "v1";
  Record.Slots = Slots;
  Record.StartTimeMs = 1;
  return Record;
}

inline MemberRecord testMember(const std::string &Name, const std::string &Zone,
                               Clock::duration WrittenAt) {
  MemberRecord Record;
  Record.Name = Name;
  Record.Incarnation = "a";
  Record.Address = "10.0.1.1:" + std::to_string(2000 + Name.size());
  Record.Zone = Zone;
  Record.Region = Zone.substr(0, Zone.find('-'));
  Record.WrittenAt = WrittenAt;
  return Record;
}

} // namespace rr

#endif // REDWINGRACK_STEERING_STEERINGTESTBED_H
