#include "gateway/OverloadSignal.h"

#include "gateway/GatewayAttempt.h"
#include "gateway/LoadMessages.h"
#include "gateway/SteeringState.h"
#include "links/PeerLinks.h"
#include "logging/EventLog.h"

namespace rr {

namespace {

const std::string LoadMethod = "instance.load";

} // namespace

OverloadSignal::OverloadSignal(SteeringState &SharedState,
                               PeerLinks &InstanceLinks)
    : State(SharedState), Links(InstanceLinks) {
  this->Links.onMessage(LoadMethod,
                        [this](const std::string &Peer, const Message &Text) {
                          this->receive(Peer, Text);
                        });
}

void OverloadSignal::announce(const LoadNotice &Notice) {
  this->Links.publish({LoadMethod, encodeLoadNotice(Notice)}, "");
}

void OverloadSignal::receive(const std::string &Peer, const Message &Received) {
  const auto Notice = decodeLoadNotice(Received.Body);
  if (!Notice) {
    this->Links.reportMalformed(Peer);
    return;
  }
  if (Notice->Region != this->State.Settings.Region ||
      Notice->Name == this->State.Settings.Name ||
      !this->State.Members.apply(*Notice))
    return;
  logEvent(Event::PeerLoadChanged,
           {{"instance", Notice->Name},
            {"overloaded", std::to_string(Notice->Distressed.has_value())},
            {"from", Peer},
            {"age_ms", millisecondText(this->State.Members.storeTime() -
                                       Notice->MadeAt)}});
  if (!this->State.Standby)
    this->Links.publish(Received, Peer);
  if (this->Changed)
    this->Changed();
}

} // namespace rr
