#include "history/Timeline.h"

#include <algorithm>

namespace rr::history {

Timeline::Timeline(const History &Recorded) {
  // Events of the same time stay in the order of recording.
  std::vector<std::pair<Clock::time_point, std::size_t>> Order;
  Order.reserve(Recorded.Events.size());
  for (std::size_t I = 0; I < Recorded.Events.size(); ++I)
    Order.emplace_back(timeOf(Recorded.Events[I]), I);
  std::ranges::sort(Order);
  this->Events.reserve(Order.size());
  for (const auto &[At, Index] : Order)
    this->Events.push_back(Recorded.Events[Index]);
  for (const Event &Item : this->Events) {
    if (const auto *Sent = std::get_if<CallerSent>(&Item))
      this->Requests[Sent->RequestId].Sent.push_back(Sent);
    else if (const auto *Answered = std::get_if<CallerAnswered>(&Item))
      this->Requests[Answered->RequestId].Answered.push_back(Answered);
    else if (const auto *Began = std::get_if<ServerBegan>(&Item))
      this->Requests[Began->RequestId].Began.push_back(Began);
  }
}

const RequestTrace &Timeline::request(const std::string &Id) const {
  static const RequestTrace Empty;
  const auto Found = this->Requests.find(Id);
  return Found == this->Requests.end() ? Empty : Found->second;
}

} // namespace rr::history
