#include "instance/LookupService.h"

#include "httpserver/HttpResponse.h"
#include "instance/InstanceState.h"
#include "lookup/EntryChoice.h"
#include "model/FleetConfig.h"

#include <nlohmann/json.hpp>

namespace rr {

namespace {

using nlohmann::json;

EntryInstance::State entryState(const MemberTable &Members,
                                const MemberEntry &Entry,
                                Clock::time_point Now) {
  if (Entry.Record.State == MemberState::Leaving)
    return EntryInstance::State::Leaving;
  return Members.isLive(Entry, Now) ? EntryInstance::State::Live
                                    : EntryInstance::State::Silent;
}

HttpResponse problem(int Status, const std::string &Code,
                     const std::string &Detail) {
  return jsonResponse(Status, json{{"error", Code}, {"detail", Detail}}.dump());
}

} // namespace

LookupService::LookupService(InstanceState &State,
                             std::chrono::milliseconds MaxAge)
    : State(State), MaxAge(MaxAge) {}

void LookupService::update(Clock::time_point Now) {
  const auto Config = configOf(this->State);
  if (!Config)
    return;
  if (Config->Version != this->ConfigVersion || !this->Blocks) {
    std::vector<std::string> Problems;
    auto Parsed = ClientBlocks::fromConfig(*Config, Problems);
    if (Parsed)
      this->Blocks = std::make_unique<ClientBlocks>(std::move(*Parsed));
    this->ConfigVersion = Config->Version;
  }
  MemberTable &Members = this->State.Control.members();
  std::vector<EntryInstance> Instances;
  for (const MemberEntry *Entry : Members.counted())
    Instances.push_back({Entry->Record.Name, Entry->Record.CallerAddress,
                         Entry->Record.Zone, entryState(Members, *Entry, Now)});
  this->Directory = std::make_unique<EntryDirectory>(*Config, Instances);
}

HttpResponse LookupService::answer(const std::string &Client) const {
  if (!this->Blocks || !this->Directory)
    return problem(503, "no_configuration",
                   "this instance has no configuration yet");
  const auto Address = parseAddress(Client.substr(0, Client.find('/')));
  if (!Address)
    return problem(400, "malformed_address", "expected an IP address");
  const EntryAnswer Chosen =
      chooseEntries(*this->Directory, this->Blocks->sitesFor(*Address),
                    hashAddress(*Address));
  json Instances = json::array();
  for (const EntryInstance *Item : Chosen.Instances)
    Instances.push_back({{"name", Item->Name},
                         {"address", Item->Address},
                         {"zone", Item->Zone}});
  const auto Seconds =
      std::chrono::duration_cast<std::chrono::seconds>(this->MaxAge);
  const json Body = {{"client", Client},
                     {"instances", Instances},
                     {"max_age_s", Seconds.count()}};
  HttpResponse Result = jsonResponse(200, Body.dump());
  Result.Headers.push_back(
      {"Cache-Control", "max-age=" + std::to_string(Seconds.count())});
  return Result;
}

} // namespace rr
