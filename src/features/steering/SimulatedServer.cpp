#include "steering/SimulatedServer.h"

#include <algorithm>

namespace rr {

namespace {

constexpr std::size_t QueueInSlots = 3;
/// Work takes 2.5 times as long for about 0.6 s, 15% of the time.
constexpr double SlowFactor = 2.5;
constexpr double SlowSeconds = 0.6;
constexpr double UsualSeconds = 3.4;

Clock::duration ticks(Seconds Time) {
  return std::chrono::duration_cast<Clock::duration>(Time);
}

} // namespace

SimulatedServer::SimulatedServer(int SlotCount, int ObjectCount, double Part,
                                 std::uint64_t Seed, Clock::time_point Start,
                                 Clock::time_point End)
    : Slots(SlotCount), CacheSize(std::size_t(ObjectCount)), CachedPart(Part) {
  RandomEngine Random(Seed);
  std::exponential_distribution<> Draw;
  bool Slow = false;
  for (Clock::time_point Until = Start; Until < End; Slow = !Slow) {
    Until += ticks(Seconds(Draw(Random) * (Slow ? SlowSeconds : UsualSeconds)));
    this->Phases.push_back({Until, Slow ? SlowFactor : 1.0});
  }
  this->Phases.back().Until = Clock::time_point::max();
}

bool SimulatedServer::arrive(SimulatedWork Work, Clock::time_point Now) {
  Work.Arrived = Now;
  if (this->Running < this->Slots) {
    this->start(std::move(Work), Now);
    return true;
  }
  if (this->Waiting.size() >= QueueInSlots * std::size_t(this->Slots))
    return false;
  this->Waiting.push_back(std::move(Work));
  return true;
}

void SimulatedServer::finish(Clock::time_point Now) {
  --this->Running;
  if (this->Waiting.empty())
    return;
  SimulatedWork Next = std::move(this->Waiting.front());
  this->Waiting.pop_front();
  this->start(std::move(Next), Now);
}

void SimulatedServer::start(SimulatedWork Work, Clock::time_point Now) {
  ++this->Running;
  const bool Cached = Work.Object && this->touch(*Work.Object);
  Seconds Left = Work.Cold * (Cached ? this->CachedPart : 1);
  Clock::time_point Done = Now;
  for (const Phase &Item : this->Phases) {
    if (Item.Until <= Done)
      continue;
    const Seconds Room = Item.Until - Done;
    if (Left * Item.Factor <= Room) {
      Done += ticks(Left * Item.Factor);
      break;
    }
    Left -= Room / Item.Factor;
    Done = Item.Until;
  }
  Work.Started(Cached, Done);
}

bool SimulatedServer::touch(std::uint64_t Object) {
  const auto Found = std::find(this->Cache.begin(), this->Cache.end(), Object);
  const bool Known = Found != this->Cache.end();
  if (Known)
    this->Cache.erase(Found);
  this->Cache.push_front(Object);
  if (this->Cache.size() > this->CacheSize)
    this->Cache.pop_back();
  return Known;
}

LoadSample SimulatedServer::report(Clock::time_point Now) const {
  const auto Current =
      std::find_if(this->Phases.begin(), this->Phases.end(),
                   [&](const Phase &Item) { return Now < Item.Until; });
  return {this->Running, int(this->Waiting.size()), this->Slots,
          Current->Factor};
}

} // namespace rr
