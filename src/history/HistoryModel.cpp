#include "history/HistoryModel.h"

#include <algorithm>

namespace rr::history {

using namespace std::chrono_literals;

namespace {

constexpr unsigned ServerSlots = 3;
const char *const Regions[] = {"east", "west"};

} // namespace

HistoryModel::HistoryModel() : Now(1h) {
  for (const std::string Region : Regions) {
    this->Servers[Region + "-s1"] = {Region, "v1"};
    this->Servers[Region + "-s2"] = {Region, "v2"};
    this->Recorded.record(
        RegionCapacity{this->Now, Region, "stock", 2 * ServerSlots});
    for (const char *Instance : {"-i1", "-i2"})
      this->InForce[Region + Instance] = 1;
  }
  for (const std::string Name : {"w0", "w1"}) {
    this->Buckets[Name] = {4, 6, 6};
    this->Recorded.record(WorkspaceLimits{this->Now, this->Now, Name, 4, 6});
    for (const char *Key : {"-a", "-b", "-c"})
      this->Recorded.record(KeyIssued{this->Now, Name + Key, Name});
  }
  this->Accepted.push_back(this->Now);
  this->Recorded.record(ConfigAccepted{this->Now, 1});
  this->Recorded.record(ShiftCap{this->Now, this->Now, "p1", "w0", "east",
                                 "west", this->ShiftShare});
  this->Recorded.record(
      RolloutStage{this->Now, this->Now, "stock", "v2", this->NewShare});
}

void HistoryModel::advance(Clock::duration Step) {
  const Clock::time_point Until = this->Now + Step;
  while (!this->Running.empty()) {
    const auto Next = std::ranges::min_element(this->Running, {}, &Run::End);
    if (Next->End > Until)
      break;
    this->Now = Next->End;
    this->endRun(std::size_t(Next - this->Running.begin()));
  }
  this->Now = Until;
  for (auto &[Name, Each] : this->Buckets)
    Each.Tokens = std::min(
        Each.Burst,
        Each.Tokens + Each.Rate * std::chrono::duration<double>(Step).count());
}

void HistoryModel::endRun(std::size_t Index) {
  const Run Item = this->Running[Index];
  this->Running.erase(this->Running.begin() + std::ptrdiff_t(Index));
  this->Recorded.record(ServerEnded{this->Now, Item.Sent.RequestId, Item.Server,
                                    --this->Servers[Item.Server].Outstanding});
  if (Item.CallerGone)
    return;
  // A failed attempt of an idempotent request may be repeated.
  if (Item.Again && Item.Sent.Idempotent &&
      this->mayRun(Item.Sent, Item.Server)) {
    this->begin(Item.Sent, Item.Server);
    this->Running.back().Again = false;
    return;
  }
  const bool Known = !Item.Again;
  this->Recorded.record(
      CallerAnswered{this->Now, Item.Sent.RequestId,
                     Known ? CallerOutcome::Answered : CallerOutcome::Unknown,
                     Known ? Item.Sent.ExpectedDigest : "", true});
}

bool HistoryModel::mayRun(const CallerSent &Sent,
                          const std::string &Name) const {
  const Server &Target = this->Servers.at(Name);
  const auto Key = this->Withdrawn.find(Sent.KeyId);
  return Target.Outstanding < ServerSlots &&
         !(Target.Draining && this->Now > Target.DrainedAt + 5s) &&
         !(Target.Version == "v2" && this->Faulty &&
           this->Now > this->FaultyAt + 5s) &&
         !(Key != this->Withdrawn.end() && this->Now > Key->second + 5s);
}

void HistoryModel::begin(const CallerSent &Sent, const std::string &Name) {
  Server &Target = this->Servers[Name];
  this->Recorded.record(ServerBegan{this->Now, Sent.RequestId, Name, "stock",
                                    Target.Version, Sent.EntryRegion,
                                    Target.Region, Sent.Workspace, false,
                                    ++Target.Outstanding});
  this->Running.push_back(
      {Sent, Name, this->Now + 150ms * Sent.Service.size()});
}

std::string HistoryModel::chooseServer(const CallerSent &Sent,
                                       std::uint32_t Choice) {
  std::string Region = Sent.EntryRegion;
  if (Sent.Workspace == "w0" && Region == "east") {
    this->ShiftCredit = std::min(this->ShiftCredit + this->ShiftShare, 1.9);
    if (this->ShiftCredit >= 1)
      Region = "west";
  }
  this->NewCredit = std::min(this->NewCredit + this->NewShare, 1.9);
  const bool New = this->NewCredit >= 1 && Choice % 4 > 0;
  return Region + (New ? "-s2" : "-s1");
}

void HistoryModel::request(std::uint32_t Choice) {
  const std::string Region = Regions[Choice % 2];
  const bool Open = Choice / 2 % 8 == 0;
  const std::string Workspace = Open ? "" : Choice / 16 % 3 == 0 ? "w1" : "w0";
  const std::string Id = "r" + std::to_string(this->NextId++);
  const char *const Keys[] = {"-a", "-b", "-c"};
  const CallerSent Sent{this->Now,
                        Id,
                        "stock",
                        Workspace,
                        Open ? "" : Workspace + Keys[Choice / 48 % 3],
                        Region + (Choice / 144 % 2 == 0 ? "-i1" : "-i2"),
                        Region,
                        Choice / 288 % 5 == 0 ? "idem-" + Id : "",
                        Choice / 288 % 3 != 0,
                        Open,
                        "digest-" + Id};
  this->Recorded.record(Sent);
  const std::string Target = this->chooseServer(Sent, Choice / 4320);
  if (!this->mayRun(Sent, Target) ||
      (!Open && this->Buckets[Workspace].Tokens < 1)) {
    this->Recorded.record(
        CallerAnswered{this->Now, Id, CallerOutcome::NotRun, "", true});
    return;
  }
  if (!Open)
    this->Buckets[Workspace].Tokens -= 1;
  if (this->Servers[Target].Region != Region)
    this->ShiftCredit -= 1;
  if (this->Servers[Target].Version == "v2")
    this->NewCredit -= 1;
  this->begin(Sent, Target);
  this->Running.back().End += 10ms * (Choice / 17280 % 100);
  this->Running.back().Again = Choice / 17280 % 7 == 0;
}

void HistoryModel::changeInstance(const std::string &Name,
                                  std::uint32_t Choice) {
  const auto Record = [&](InstanceState State) {
    this->Recorded.record(InstanceChange{this->Now, Name, State});
  };
  if (Choice % 3 == 0) {
    Record(InstanceState::Killed);
    for (Run &Each : this->Running) {
      if (Each.Sent.EntryInstance != Name || Each.CallerGone)
        continue;
      Each.CallerGone = true;
      this->Recorded.record(CallerAnswered{this->Now, Each.Sent.RequestId,
                                           CallerOutcome::Unknown, "", false});
    }
  } else if (!this->Stopping[Name]) {
    this->Stopping[Name] = true;
    Record(InstanceState::StopBegan);
    return;
  } else if (std::ranges::any_of(this->Running, [&](const Run &Each) {
               return Each.Sent.EntryInstance == Name && !Each.CallerGone;
             })) {
    return;
  } else {
    Record(InstanceState::Stopped);
  }
  this->Stopping[Name] = false;
  this->Now += 1ms;
  Record(InstanceState::Started);
}

void HistoryModel::changeConfig(const std::string &Name, std::uint32_t Choice) {
  if (Choice % 4 == 0) {
    this->Accepted.push_back(this->Now);
    this->Recorded.record(ConfigAccepted{this->Now, this->Accepted.size()});
    return;
  }
  std::uint64_t Due = 0;
  for (const Clock::time_point At : this->Accepted)
    Due += At + 7s <= this->Now;
  const std::uint64_t Adopted = Choice % 4 == 1 ? this->Accepted.size() : Due;
  std::uint64_t &Version = this->InForce[Name];
  Version = std::max(Version, Adopted);
  this->Recorded.record(ConfigObserved{this->Now, this->Now, Name, Version});
}

void HistoryModel::changeVersion(std::uint32_t Choice) {
  if (!this->Faulty) {
    this->Faulty = true;
    this->FaultyAt = this->Now;
    this->Recorded.record(VersionFaulty{this->Now, "stock", "v2"});
  } else if (this->Now > this->FaultyAt + 5s) {
    this->Recorded.record(VersionTakenBack{this->Now, "stock", "v2"});
    this->Faulty = false;
    this->NewShare = Choice % 2 == 0 ? 0.05 : 0.25;
    this->NewCredit = 0;
    this->Recorded.record(
        RolloutStage{this->Now, this->Now, "stock", "v2", this->NewShare});
  }
}

void HistoryModel::operate(std::uint32_t Choice) {
  const std::string Name =
      std::string(Regions[Choice % 2]) + (Choice / 2 % 2 == 0 ? "-i1" : "-i2");
  const std::uint32_t Rest = Choice / 32;
  switch (Choice / 4 % 8) {
  case 0:
    this->changeInstance(Name, Rest);
    break;
  case 1:
    this->changeVersion(Rest);
    break;
  case 2: {
    this->ShiftShare = 0.05 * (Rest % 20);
    this->ShiftCredit = 0;
    this->Recorded.record(ShiftCap{this->Now, this->Now, "p1", "w0", "east",
                                   "west", this->ShiftShare});
    break;
  }
  case 3: {
    const std::string Key = Rest % 2 == 0 ? "w0-b" : "w1-b";
    if (this->Withdrawn.emplace(Key, this->Now).second)
      this->Recorded.record(KeyWithdrawn{this->Now, Key});
    break;
  }
  case 4: {
    Server &Target = this->Servers["east-s1"];
    Target.Draining = !Target.Draining;
    Target.DrainedAt = this->Now;
    this->Recorded.record(ServerDrain{this->Now, "east-s1", Target.Draining});
    break;
  }
  case 5: {
    Bucket &Limits = this->Buckets["w1"];
    Limits.Rate = 2 + Rest % 4;
    Limits.Burst = 3 + Rest % 5;
    Limits.Tokens = std::min(Limits.Tokens, Limits.Burst);
    this->Recorded.record(
        WorkspaceLimits{this->Now, this->Now, "w1", Limits.Rate, Limits.Burst});
    break;
  }
  default:
    this->changeConfig(Name, Rest);
  }
}

void HistoryModel::step(std::uint32_t Choice) {
  this->advance(1ms * (Choice % 8 < 6 ? Choice / 8 % 200 : Choice / 8 % 3000));
  if (Choice / 1600 % 8 == 0)
    this->operate(Choice / 12800);
  else
    this->request(Choice / 12800);
}

History HistoryModel::finish() {
  this->advance(1min);
  return std::move(this->Recorded);
}

} // namespace rr::history
