#ifndef REDWINGRACK_BENCH_CAPACITYFLEET_H
#define REDWINGRACK_BENCH_CAPACITYFLEET_H

#include "instance/InstanceReport.h"
#include "limits/ShareAllocation.h"
#include "membership/LoadReport.h"
#include "membership/MemberTable.h"
#include "model/FleetConfig.h"

#include <string>

namespace rr {

/// A fleet of a chosen size, the same at every run.
struct CapacityFleet {
  std::size_t Members = 12;
  std::size_t Zones = 6;
  std::size_t Regions = 3;
  std::size_t Blocks = 0;
  std::size_t Sites = 0;
  std::size_t Servers = 0;
  std::size_t Services = 3;
  std::size_t Workspaces = 8;
  /// Zones, from the second one on, whose members were not heard of.
  std::size_t SilentZones = 0;

  /// The quantities of the design page, section "Size to come", with four
  /// servers an instance as in both deployments of today.
  static CapacityFleet toCome();

  std::string zone(std::size_t Index) const;
  std::string region(std::size_t Index) const;
  /// The members are spread over the zones in turn.
  Member member(std::size_t Index) const;
  FleetConfig config(std::uint64_t Version) const;
  DemandReport demand(std::size_t Index) const;
  InstanceReport report(std::size_t Index, Clock::time_point Now) const;
  LoadReport load() const;
  /// All members in equal parts.
  ShareAllocation allocation() const;
  /// Adds all members but the table's own; those outside of the silent zones
  /// were heard of at \p At.
  void fill(MemberTable &Table, Clock::time_point At) const;
};

} // namespace rr

#endif // REDWINGRACK_BENCH_CAPACITYFLEET_H
