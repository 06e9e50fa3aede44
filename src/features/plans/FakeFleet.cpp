#include "plans/FakeFleet.h"

#include "base/Random.h"
#include "model/FleetConfigJson.h"
#include "platform/PlatformCalls.h"

#include <nlohmann/json.hpp>

namespace rr {

namespace {

using nlohmann::json;

const std::string HeadKey = "control/head";
const std::string LeaseKey = "leases/plans";
// An arbitrary fixed day, so that all runs are the same.
constexpr std::chrono::seconds FirstWallTime{1'800'000'000};

FleetConfig parse(const std::string &Text) {
  std::vector<std::string> Problems;
  return parseFleetConfig(Text, Problems).value_or(FleetConfig());
}

RowWrite headWrite(const Row &Head, const json &Value) {
  return {RowWrite::Kind::Put, HeadKey, Value.dump(), Head.Version};
}

} // namespace

FakeFleet::FakeFleet(FakePlatform &Store, const FleetConfig &First,
                     std::vector<std::string> Instances)
    : Store(Store), Begin(Clock::now()) {
  Store.Objects["config/first"] = formatFleetConfig(First);
  Store.put(HeadKey, json{{"config", First.Version},
                          {"object", "config/first"},
                          {"keys", 1},
                          {"members", 1}}
                         .dump());
  for (const std::string &Name : Instances)
    this->Copies[Name] = std::make_shared<const FleetConfig>(First);
}

WallTime FakeFleet::wallNow() const {
  return WallTime(FirstWallTime +
                  std::chrono::duration_cast<WallTime::duration>(Clock::now() -
                                                                 this->Begin));
}

FleetConfig FakeFleet::current() const {
  const json Head = json::parse(this->Store.Rows.at(HeadKey).Value);
  return parse(this->Store.Objects.at(Head["object"]));
}

void FakeFleet::replace(const FleetConfig &Next) {
  json Head = json::parse(this->Store.Rows.at(HeadKey).Value);
  Head["config"] = Next.Version;
  Head["object"] = "config/replaced";
  this->Store.Objects["config/replaced"] = formatFleetConfig(Next);
  this->Store.put(HeadKey, Head.dump());
}

const FleetConfig &FakeFleet::adopted(const std::string &Instance) const {
  return *this->Copies.at(Instance);
}

void FakeFleet::giveLease(const std::string &Instance) {
  this->Store.put(LeaseKey, json{{"holder", Instance}}.dump());
  this->Fences[Instance] = this->Store.Rows.at(LeaseKey).Version;
}

void FakeFleet::propagate() {
  const json Head = json::parse(this->Store.Rows.at(HeadKey).Value);
  const std::uint64_t Version = Head["config"];
  this->ConfigTimes.emplace(Version, Clock::now());
  this->KeyTimes.emplace(Head["keys"], Clock::now());
  if (Clock::now() - this->ConfigTimes[Version] < this->AdoptionDelay)
    return;
  std::shared_ptr<const FleetConfig> Latest;
  for (auto &[Name, Copy] : this->Copies) {
    if (this->Silent.count(Name) || Copy->Version >= Version)
      continue;
    if (!Latest)
      Latest = std::make_shared<const FleetConfig>(this->current());
    Copy = Latest;
    if (this->OnAdopt)
      this->OnAdopt(Name, *Copy);
  }
}

BarrierReport FakeFleet::barrier(const ControlMark &Mark) const {
  BarrierReport Result{true, {}};
  const auto &Times = Mark.Config > 0 ? this->ConfigTimes : this->KeyTimes;
  const auto Seen =
      Times.lower_bound(Mark.Config > 0 ? Mark.Config : Mark.Keys);
  const bool Lapsed =
      Seen != Times.end() && Clock::now() - Seen->second >= this->ProofTime;
  for (const auto &[Name, Copy] : this->Copies)
    if (Copy->Version < Mark.Config ||
        (Mark.Config == 0 && this->Silent.count(Name)))
      Result.Missing.push_back(Name);
  Result.Passed = Seen != Times.end() && (Lapsed || Result.Missing.empty());
  return Result;
}

asio::awaitable<Outcome<ControlMark>> FakeFleet::commit(Platform Calls,
                                                        ControlChange Wanted) {
  const auto Head = co_await readRow(Calls, HeadKey);
  if (!Head)
    co_return failure(Errc::Unavailable);
  json Value = json::parse((*Head)->Value);
  if (Value["config"] != Wanted.BaseVersion)
    co_return failure(Errc::Conflict);
  ControlMark Mark;
  if (Wanted.Config) {
    Mark.Config = Wanted.BaseVersion + 1;
    Wanted.Config->Version = Mark.Config;
    const std::string Name = "config/" + randomToken();
    const auto Kept =
        co_await Calls.PutObject(Name, formatFleetConfig(*Wanted.Config));
    if (!Kept)
      co_return failure(Errc::Unavailable);
    Value["config"] = Mark.Config;
    Value["object"] = Name;
  }
  if (Wanted.Key) {
    Mark.Keys = Value["keys"].get<std::uint64_t>() + 1;
    Value["keys"] = Mark.Keys;
  }
  if (!Wanted.LostInstance.empty()) {
    Mark.Members = Value["members"].get<std::uint64_t>() + 1;
    Value["members"] = Mark.Members;
  }
  Transaction Writes = Wanted.Extra(Mark);
  Writes.Writes.push_back(headWrite(**Head, Value));
  if (Wanted.Key)
    Writes.Writes.push_back({RowWrite::Kind::Put, "keys/" + Wanted.Key->Hash,
                             json{{"workspace", Wanted.Key->Workspace}}.dump(),
                             std::nullopt});
  if (this->BeforeCommit)
    this->BeforeCommit();
  const auto Result =
      co_await commitVerified(Calls, std::move(Writes), Wanted.ProbeKey);
  if (!Result)
    co_return tl::unexpected<std::error_code>(Result.error());
  co_return Mark;
}

FleetConfig FakeFleet::configOf(std::uint64_t Version) const {
  for (const auto &[Name, Text] : this->Store.Objects)
    if (Name.compare(0, 7, "config/") == 0)
      if (FleetConfig Config = parse(Text); Config.Version == Version)
        return Config;
  return {};
}

PlanServices FakeFleet::services(const std::string &Instance,
                                 const Platform &Calls) {
  PlanServices Result;
  Result.Self = Instance;
  Result.CurrentConfig = [this, Instance] { return this->Copies.at(Instance); };
  Result.ConfigAt =
      [this](std::uint64_t Version) -> asio::awaitable<Outcome<FleetConfig>> {
    FleetConfig Config = this->configOf(Version);
    if (Config.Version != Version)
      co_return failure(Errc::NotFound);
    co_return Config;
  };
  Result.Commit = [this, Calls](ControlChange Change) {
    return this->commit(Calls, std::move(Change));
  };
  Result.AwaitBarrier = [this](ControlMark Mark, Clock::duration)
      -> asio::awaitable<BarrierReport> { co_return this->barrier(Mark); };
  // The holder believes in its lease until it learns better; only the check
  // in the store tells.
  Result.FenceCheck = [this, Instance]() -> std::optional<RowWrite> {
    const auto Found = this->Fences.find(Instance);
    if (Found == this->Fences.end())
      return std::nullopt;
    return RowWrite{RowWrite::Kind::CheckOnly, LeaseKey, "", Found->second};
  };
  Result.RegionLoads = [this] { return this->Regions; };
  Result.WorkspaceLoads = [this] { return this->Workspaces; };
  Result.VersionHeadroom = [this](std::string, std::string) {
    return this->FreeOfVersion;
  };
  Result.VersionReports = [this](std::string) { return this->Reports; };
  Result.StopOf = [this](std::string Plan) -> std::optional<VersionStop> {
    const auto Found = this->Stops.find(Plan);
    if (Found == this->Stops.end())
      return std::nullopt;
    return Found->second;
  };
  Result.Outstanding =
      [this](std::string Server) -> std::optional<std::uint64_t> {
    const auto Found = this->Running.find(Server);
    if (Found == this->Running.end())
      return std::nullopt;
    return Found->second;
  };
  Result.WallNow = [this] { return this->wallNow(); };
  return Result;
}

} // namespace rr
