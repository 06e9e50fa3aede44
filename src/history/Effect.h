#ifndef REDWINGRACK_HISTORY_EFFECT_H
#define REDWINGRACK_HISTORY_EFFECT_H

#include "base/Clock.h"

#include <algorithm>
#include <vector>

namespace rr::history {

/// The time in which one of a row of settings may have effect at some instance.
template <typename T> struct Effect {
  const T *Setting;
  Clock::time_point Begin;
  Clock::time_point End;

  bool covers(Clock::time_point Time) const {
    return this->Begin <= Time && Time < this->End;
  }
};

/// Effects of settings that replace each other, in order of time. A setting
/// holds until the next one is in force everywhere, so two may overlap.
template <typename T>
std::vector<Effect<T>> effectsOf(const std::vector<const T *> &Settings) {
  std::vector<Effect<T>> Found;
  for (const T *Item : Settings) {
    if (!Found.empty())
      Found.back().End = std::max(Item->At, Item->InForce);
    Found.push_back({Item, Item->At, Clock::time_point::max()});
  }
  return Found;
}

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_EFFECT_H
