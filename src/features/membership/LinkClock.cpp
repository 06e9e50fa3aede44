#include "membership/LinkClock.h"

#include <algorithm>

namespace rr {

namespace {

// 16 s of messages at the shortest interval; older ones prove nothing.
constexpr std::size_t MostRemembered = 64;

} // namespace

std::uint64_t LinkClock::next(Clock::time_point Now) {
  this->Sent.emplace_back(++this->LastSent, Now);
  if (this->Sent.size() > MostRemembered)
    this->Sent.pop_front();
  return this->LastSent;
}

void LinkClock::received(std::uint64_t Number) {
  this->HighestReceived = std::max(this->HighestReceived, Number);
}

std::optional<Clock::time_point>
LinkClock::sentAfter(std::uint64_t Echo) const {
  for (const auto &[Number, At] : this->Sent)
    if (Number == Echo)
      return At;
  return std::nullopt;
}

} // namespace rr
