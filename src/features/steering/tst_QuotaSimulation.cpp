#include "steering/QuotaSimulation.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

struct Size {
  std::size_t Instances;
  std::size_t Workspaces;
  double TotalRate;
};

QuotaSimulationResult playLoad(const QuotaSimulationLoad &Load) {
  QuotaSimulation Fleet(Load);
  Fleet.run(20s);
  return Fleet.result();
}

} // namespace

// Guards against shares that are too small to be used: a request within the
// workspace's rate is refused at one instance while others have tokens left.
TEST_CASE("Requests within a workspace's rate are hardly ever refused",
          "[quota]") {
  const Size Fleet = GENERATE(Size{9, 8, 500}, Size{84, 84, 3200},
                              Size{27, 190, 4300}, Size{295, 190, 4300});
  QuotaSimulationLoad Load;
  Load.Instances = Fleet.Instances;
  Load.Workspaces = Fleet.Workspaces;
  Load.TotalRate = Fleet.TotalRate;
  Load.DemandRatio = 0.5;
  const QuotaSimulationResult Tally = playLoad(Load);
  CAPTURE(Fleet.Instances, Tally.WrongfulRefusals, Tally.IdealAdmitted,
          Tally.Messages, Tally.RemoteRequests);
  CHECK(double(Tally.WrongfulRefusals) <= 0.005 * double(Tally.IdealAdmitted));
}

// Guards against transferred tokens that are used twice.
TEST_CASE("Workspaces stay within their rates when all send three times as "
          "much",
          "[quota]") {
  QuotaSimulationLoad Load;
  Load.Instances = GENERATE(9U, 27U, 84U);
  Load.Seed = GENERATE(1U, 2U, 3U);
  Load.Workspaces = 40;
  Load.DemandRatio = 3;
  Load.Bursty = GENERATE(false, true);
  const QuotaSimulationResult Tally = playLoad(Load);
  CAPTURE(Load.Instances, Load.Seed, Load.Bursty);
  CHECK(Tally.WorstWindow <= 1);
}
