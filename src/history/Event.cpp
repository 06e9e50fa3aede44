#include "history/Event.h"

#include <cstdint>
#include <cstdio>

namespace rr::history {

namespace {

/// Collects the fields of one event as `name=value`, leaving out empty texts.
class Line {
public:
  Line(const char *Name, Clock::time_point At)
      : Text(describe(At) + " " + Name) {}

  Line &add(const char *Name, const std::string &Value) {
    if (!Value.empty())
      this->Text += std::string(" ") + Name + "=" + Value;
    return *this;
  }
  Line &add(const char *Name, const char *Value) {
    return this->add(Name, std::string(Value));
  }
  Line &add(const char *Name, bool Value) {
    return this->add(Name, Value ? "yes" : "no");
  }
  Line &add(const char *Name, std::uint64_t Value) {
    return this->add(Name, std::to_string(Value));
  }
  Line &add(const char *Name, unsigned Value) {
    return this->add(Name, std::to_string(Value));
  }
  Line &add(const char *Name, double Value) {
    char Buffer[32];
    std::snprintf(Buffer, sizeof Buffer, "%g", Value);
    return this->add(Name, Buffer);
  }
  Line &add(const char *Name, Clock::time_point Value) {
    return this->add(Name, Value == Clock::time_point() ? std::string()
                                                        : describe(Value));
  }

  std::string Text;
};

const char *nameOf(CallerOutcome Value) {
  switch (Value) {
  case CallerOutcome::Answered:
    return "answered";
  case CallerOutcome::NotRun:
    return "not_run";
  case CallerOutcome::Unknown:
    return "unknown";
  }
  return "?";
}

const char *nameOf(InstanceState Value) {
  switch (Value) {
  case InstanceState::Started:
    return "started";
  case InstanceState::StopBegan:
    return "stop_began";
  case InstanceState::Stopped:
    return "stopped";
  case InstanceState::Killed:
    return "killed";
  }
  return "?";
}

std::string text(const CallerSent &Item) {
  return Line("caller_sent", Item.At)
      .add("request_id", Item.RequestId)
      .add("service", Item.Service)
      .add("workspace", Item.Workspace)
      .add("key_id", Item.KeyId)
      .add("entry_instance", Item.EntryInstance)
      .add("entry_region", Item.EntryRegion)
      .add("idempotency_key", Item.IdempotencyKey)
      .add("idempotent", Item.Idempotent)
      .add("open_route", Item.OpenRoute)
      .add("expected_digest", Item.ExpectedDigest)
      .Text;
}

std::string text(const CallerAnswered &Item) {
  return Line("caller_answered", Item.At)
      .add("request_id", Item.RequestId)
      .add("outcome", nameOf(Item.Outcome))
      .add("received_digest", Item.ReceivedDigest)
      .add("whole", Item.Whole)
      .Text;
}

std::string text(const ServerBegan &Item) {
  return Line("server_began", Item.At)
      .add("request_id", Item.RequestId)
      .add("server", Item.Server)
      .add("service", Item.Service)
      .add("version", Item.Version)
      .add("entry_region", Item.EntryRegion)
      .add("server_region", Item.ServerRegion)
      .add("workspace_seen", Item.WorkspaceSeen)
      .add("key_seen", Item.KeySeen)
      .add("outstanding", Item.Outstanding)
      .Text;
}

std::string text(const ServerEnded &Item) {
  return Line("server_ended", Item.At)
      .add("request_id", Item.RequestId)
      .add("server", Item.Server)
      .add("outstanding", Item.Outstanding)
      .Text;
}

std::string text(const KeyIssued &Item) {
  return Line("key_issued", Item.At)
      .add("key_id", Item.KeyId)
      .add("workspace", Item.Workspace)
      .Text;
}

std::string text(const KeyWithdrawn &Item) {
  return Line("key_withdrawn", Item.At).add("key_id", Item.KeyId).Text;
}

std::string text(const ConfigAccepted &Item) {
  return Line("config_accepted", Item.At).add("version", Item.Version).Text;
}

std::string text(const ConfigObserved &Item) {
  return Line("config_observed", Item.At)
      .add("asked_at", Item.AskedAt)
      .add("instance", Item.Instance)
      .add("version", Item.Version)
      .add("serving", Item.Serving)
      .Text;
}

std::string text(const ServerDrain &Item) {
  return Line("server_drain", Item.At)
      .add("server", Item.Server)
      .add("draining", Item.Draining)
      .Text;
}

std::string text(const ShiftCap &Item) {
  return Line("shift_cap", Item.At)
      .add("in_force", Item.InForce)
      .add("plan", Item.Plan)
      .add("workspace", Item.Workspace)
      .add("from_region", Item.FromRegion)
      .add("to_region", Item.ToRegion)
      .add("cap", Item.Cap)
      .add("over", Item.Over)
      .Text;
}

std::string text(const RolloutStage &Item) {
  return Line("rollout_stage", Item.At)
      .add("in_force", Item.InForce)
      .add("service", Item.Service)
      .add("version", Item.Version)
      .add("cap", Item.Cap)
      .add("over", Item.Over)
      .Text;
}

std::string text(const VersionFaulty &Item) {
  return Line("version_faulty", Item.At)
      .add("service", Item.Service)
      .add("version", Item.Version)
      .Text;
}

std::string text(const VersionTakenBack &Item) {
  return Line("version_taken_back", Item.At)
      .add("service", Item.Service)
      .add("version", Item.Version)
      .Text;
}

std::string text(const InstanceChange &Item) {
  return Line("instance_change", Item.At)
      .add("instance", Item.Instance)
      .add("state", nameOf(Item.State))
      .Text;
}

std::string text(const RegionCapacity &Item) {
  return Line("region_capacity", Item.At)
      .add("region", Item.Region)
      .add("service", Item.Service)
      .add("slots", Item.Slots)
      .Text;
}

std::string text(const WorkspaceLimits &Item) {
  return Line("workspace_limits", Item.At)
      .add("in_force", Item.InForce)
      .add("workspace", Item.Workspace)
      .add("rate", Item.Rate)
      .add("burst", Item.Burst)
      .Text;
}

} // namespace

Clock::time_point timeOf(const Event &Item) {
  return std::visit([](const auto &Value) { return Value.At; }, Item);
}

std::string describe(const Event &Item) {
  return std::visit([](const auto &Value) { return text(Value); }, Item);
}

std::string describe(Clock::time_point Time) {
  char Buffer[32];
  std::snprintf(Buffer, sizeof Buffer, "%.3fs",
                std::chrono::duration<double>(Time.time_since_epoch()).count());
  return Buffer;
}

} // namespace rr::history
