#include "plans/PlanForecast.h"

#include "model/FleetConfig.h"
#include "plans/Plan.h"
#include "plans/PlanInputs.h"

namespace rr {

namespace {

using Forecasts = std::vector<RegionForecast>;

void addLoad(Forecasts &Regions, const std::string &Region, double Change) {
  for (RegionForecast &Item : Regions)
    if (Item.Region == Region)
      Item.LoadAfter += Change;
}

void forecastMove(const MoveTraffic &Wish, const Plan &Current,
                  const PlanInputs &Inputs, Forecasts &Regions) {
  for (const WorkspaceLoad &Item : Inputs.Workspaces) {
    const bool Affected =
        Item.Workspace == Wish.Workspace && Item.EntryRegion != Wish.ToRegion &&
        (Wish.FromRegion.empty() || Item.EntryRegion == Wish.FromRegion);
    if (!Affected)
      continue;
    const double Moved = Item.Rate * (Wish.Share - Current.StartShare);
    addLoad(Regions, Item.EntryRegion, -Moved);
    addLoad(Regions, Wish.ToRegion, Moved);
  }
}

void forecastTakeOn(const TakeOnWorkspace &Wish, Forecasts &Regions) {
  const auto Parts = static_cast<double>(Wish.EntryRegions.size());
  for (const std::string &Region : Wish.EntryRegions)
    addLoad(Regions, Region, Wish.Rate / Parts);
}

// Expects that the workspace uses the same part of its rate as now.
void forecastRate(const SetRate &Wish, const PlanInputs &Inputs,
                  Forecasts &Regions) {
  const Workspace *Now = findWorkspace(Inputs.Config, Wish.Workspace);
  if (!Now || Now->Rate <= 0)
    return;
  for (const WorkspaceLoad &Item : Inputs.Workspaces)
    if (Item.Workspace == Wish.Workspace)
      addLoad(Regions, Item.EntryRegion,
              Item.Rate * (Wish.Rate / Now->Rate - 1));
}

// A region loses capacity in proportion to its slots.
void forecastDrain(const DrainServer &Wish, const PlanInputs &Inputs,
                   Forecasts &Regions) {
  const BackendServer *Server = findServer(Inputs.Config, Wish.Server);
  if (!Server)
    return;
  const std::string Region = regionOfZone(Inputs.Config, Server->Zone);
  double Slots = 0;
  for (const BackendServer &Item : Inputs.Config.Servers)
    if (!Item.Draining && regionOfZone(Inputs.Config, Item.Zone) == Region)
      Slots += Item.Slots;
  for (RegionForecast &Item : Regions)
    if (Item.Region == Region && Slots > 0 && Server->Draining == Wish.Undo)
      Item.CapacityAfter += Item.CapacityBefore / Slots *
                            (Wish.Undo ? 1.0 : -1.0) * Server->Slots;
}

} // namespace

std::vector<RegionForecast> forecast(const Plan &Current,
                                     const PlanInputs &Inputs) {
  Forecasts Result;
  for (const RegionLoad &Item : Inputs.Regions)
    Result.push_back(
        {Item.Region, Item.Load, Item.Load, Item.Capacity, Item.Capacity});
  if (const auto *Wish = std::get_if<MoveTraffic>(&Current.Wish))
    forecastMove(*Wish, Current, Inputs, Result);
  else if (const auto *Wish = std::get_if<TakeOnWorkspace>(&Current.Wish))
    forecastTakeOn(*Wish, Result);
  else if (const auto *Wish = std::get_if<SetRate>(&Current.Wish))
    forecastRate(*Wish, Inputs, Result);
  else if (const auto *Wish = std::get_if<DrainServer>(&Current.Wish))
    forecastDrain(*Wish, Inputs, Result);
  return Result;
}

} // namespace rr
