#include "instance/FleetObserver.h"

#include "base/Clock.h"
#include "instance/InstanceFleetConfig.h"

#include <nlohmann/json.hpp>

namespace rr {

namespace {

std::string regionOfInstance(const std::string &Name) {
  return Name.substr(0, 1);
}

history::CallerOutcome outcomeOf(const HttpResponse &Response) {
  const auto Body = nlohmann::json::parse(Response.Body, nullptr, false);
  const std::string Text = Body.is_object() ? Body.value("outcome", "") : "";
  if (Text == "not_run")
    return history::CallerOutcome::NotRun;
  return Text == "unknown" ? history::CallerOutcome::Unknown
                           : history::CallerOutcome::Answered;
}

} // namespace

FleetObserver::FleetObserver() : Config(instanceFleetConfig()) {
  for (const Workspace &Item : this->Config.Workspaces)
    this->limits(Item);
  std::map<std::pair<std::string, std::string>, unsigned> Slots;
  for (const BackendServer &Item : this->Config.Servers)
    Slots[{regionOfZone(this->Config, Item.Zone), Item.Service}] += Item.Slots;
  for (const auto &[Where, Count] : Slots)
    this->Recorded.record(history::RegionCapacity{Clock::now(), Where.first,
                                                  Where.second, Count});
}

void FleetObserver::limits(const Workspace &Item) {
  this->Recorded.record(history::WorkspaceLimits{
      Clock::now(), Clock::now(), Item.Name, Item.Rate, Item.Burst});
}

void FleetObserver::callerSent(const std::string &Sending,
                               const std::string &RequestId,
                               const HttpServerRequest &Request,
                               const std::string &Instance) {
  history::CallerSent Event;
  Event.At = Clock::now();
  Event.RequestId = Sending;
  const auto *Taken = findRoute(this->Config, Request.Method, Request.Path);
  Event.Service = Taken ? Taken->Service : "";
  Event.OpenRoute = Taken && Taken->Open;
  if (!Event.OpenRoute) {
    Event.Workspace = "w";
    Event.KeyId = "k";
  }
  Event.EntryInstance = Instance;
  Event.EntryRegion = regionOfInstance(Instance);
  const std::string *Order = findHeader(Request.Headers, "Idempotency-Key");
  Event.IdempotencyKey = Order ? *Order : "";
  Event.Idempotent = Request.Method == "GET";
  Event.ExpectedDigest = RequestId;
  this->Recorded.record(Event);
  this->Latest[RequestId] = {Sending, Event.EntryRegion};
  this->RequestOf[Sending] = RequestId;
}

void FleetObserver::callerAnswered(const std::string &Sending,
                                   const HttpResponse &Response) {
  history::CallerAnswered Event;
  Event.At = Clock::now();
  Event.RequestId = Sending;
  Event.Outcome = outcomeOf(Response);
  Event.ReceivedDigest = Response.Body.substr(0, Response.Body.find('@'));
  this->Recorded.record(Event);
}

void FleetObserver::serverBegan(const BackendServer &Server,
                                const std::string &RequestId,
                                const std::string &Workspace, bool KeySeen,
                                unsigned Outstanding) {
  const auto Found = this->Latest.find(RequestId);
  history::ServerBegan Event;
  Event.At = Clock::now();
  Event.RequestId =
      Found == this->Latest.end() ? RequestId : Found->second.Sending;
  Event.Server = Server.Name;
  Event.Service = Server.Service;
  Event.Version = Server.Version;
  Event.EntryRegion =
      Found == this->Latest.end() ? "" : Found->second.EntryRegion;
  Event.ServerRegion = regionOfZone(this->Config, Server.Zone);
  Event.WorkspaceSeen = Workspace;
  Event.KeySeen = KeySeen;
  Event.Outstanding = Outstanding;
  this->Recorded.record(Event);
}

void FleetObserver::serverEnded(const std::string &Server,
                                const std::string &RequestId,
                                unsigned Outstanding) {
  const auto Found = this->Latest.find(RequestId);
  history::ServerEnded Event;
  Event.At = Clock::now();
  Event.RequestId =
      Found == this->Latest.end() ? RequestId : Found->second.Sending;
  Event.Server = Server;
  Event.Outstanding = Outstanding;
  this->Recorded.record(Event);
}

void FleetObserver::instance(const std::string &Name,
                             history::InstanceState State) {
  this->Recorded.record(history::InstanceChange{Clock::now(), Name, State});
}

void FleetObserver::configAccepted(std::uint64_t Version) {
  this->Recorded.record(history::ConfigAccepted{Clock::now(), Version});
}

void FleetObserver::configObserved(const std::string &Instance,
                                   std::uint64_t Version, bool Serving) {
  const Clock::time_point Now = Clock::now();
  this->Recorded.record(
      history::ConfigObserved{Now, Now, Instance, Version, Serving});
}

void FleetObserver::keyIssued(const std::string &KeyId,
                              const std::string &Workspace) {
  this->Recorded.record(history::KeyIssued{Clock::now(), KeyId, Workspace});
}

void FleetObserver::keyWithdrawn(const std::string &KeyId) {
  this->Recorded.record(history::KeyWithdrawn{Clock::now(), KeyId});
}

void FleetObserver::drain(const std::string &Server) {
  this->Recorded.record(history::ServerDrain{Clock::now(), Server, true});
}

} // namespace rr
