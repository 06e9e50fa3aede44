#include "plans/PlanWorld.h"

#include "plans/PlanJson.h"

#include <utility>

namespace rr {

namespace {

using namespace std::chrono_literals;

constexpr Clock::duration Tick = 100ms;

std::vector<std::string> instanceNames(int Count) {
  std::vector<std::string> Result;
  for (int I = 0; I < Count; ++I)
    Result.push_back("i" + std::to_string(I));
  return Result;
}

} // namespace

FleetConfig sampleFleet() {
  FleetConfig Config;
  Config.Version = 10;
  for (const char *Region : {"a", "b", "c"})
    for (const char *Number : {"1", "2"})
      Config.Zones.push_back({std::string(Region) + Number, Region});
  for (int I = 0; I < 8; ++I)
    Config.Workspaces.push_back({"w" + std::to_string(I), 100, 50});
  Config.Routes.push_back({"read", "stock", {"GET"}, "/stock"});
  for (int I = 0; I < 12; ++I) {
    BackendServer Server;
    Server.Name = "s" + std::to_string(I);
    Server.Service = "stock";
    Server.Version = I < 8 ? "1" : "2";
    Server.Zone = Config.Zones[static_cast<std::size_t>(I) % 6].Name;
    Server.Address = "127.0.0.1:9";
    Server.Slots = 3;
    Config.Servers.push_back(Server);
  }
  Config.Splits.push_back({"stock", "1", "", 0, ""});
  return Config;
}

PlanWorld::Node::Node(PlanWorld &World, const std::string &Name)
    : Calls(World.Store.platform(&this->Cut)),
      Services(World.Fleet.services(Name, this->Calls)),
      Plans(this->Calls, this->Services),
      Executor(World.Loop.context().get_executor(), this->Plans,
               this->Services) {}

PlanWorld::PlanWorld(int Instances)
    : Names(instanceNames(Instances)),
      Fleet(this->Store, sampleFleet(), this->Names), One(*this, "i0"),
      Two(*this, "i1") {
  for (const char *Region : {"a", "b", "c"})
    this->Fleet.Regions.push_back({Region, 100, 400, 0s});
  for (int I = 0; I < 8; ++I)
    this->Fleet.Workspaces.push_back({"w" + std::to_string(I), "a", 50});
}

PlanWorld::~PlanWorld() {
  this->One.Executor.stop();
  this->Two.Executor.stop();
  this->Loop.advance(30s, 1s);
}

void PlanWorld::hold(Node &Holder) {
  this->Fleet.giveLease(Holder.Services.Self);
  if (!std::exchange(Holder.Runs, true))
    this->Loop.spawn([&Holder] { return Holder.Executor.run(); });
}

void PlanWorld::advance(Clock::duration Time) {
  for (Clock::duration Done{0}; Done < Time; Done += Tick) {
    this->Loop.advance(Tick, Tick);
    this->Fleet.propagate();
    if (this->OnTick)
      this->OnTick();
  }
}

PlanAnswer
PlanWorld::ask(std::function<asio::awaitable<PlanAnswer>()> Request) {
  bool Done = false;
  PlanAnswer Result;
  this->Loop.spawn([&]() -> asio::awaitable<void> {
    Result = co_await Request();
    Done = true;
  });
  while (!Done)
    this->advance(Tick);
  return Result;
}

PlanAnswer PlanWorld::propose(const Intent &Wish) {
  return this->ask([&] { return this->Two.Plans.propose(Wish, "ann"); });
}

std::string PlanWorld::start(const Intent &Wish) {
  const PlanAnswer Proposed = this->propose(Wish);
  if (Proposed.Error)
    return "";
  const std::string Id = Proposed.Current->Id;
  this->ask([&] { return this->Two.Plans.confirm(Id, "ann"); });
  return Id;
}

Plan PlanWorld::plan(const std::string &Id) {
  const auto Found = this->Store.Rows.find("plans/" + Id);
  if (Found == this->Store.Rows.end())
    return {};
  return parsePlan(Found->second.Value).value_or(Plan());
}

Plan PlanWorld::runUntilEnded(const std::string &Id, Clock::duration Most) {
  for (Clock::duration Done{0}; Done < Most; Done += 1s) {
    this->advance(1s);
    if (isEnded(this->plan(Id).State))
      break;
  }
  return this->plan(Id);
}

WallTime PlanWorld::wallIn(std::chrono::seconds Time) const {
  return this->Fleet.wallNow() + Time;
}

} // namespace rr
