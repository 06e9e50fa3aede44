#ifndef REDWINGRACK_HISTORY_HISTORY_H
#define REDWINGRACK_HISTORY_HISTORY_H

#include "history/Event.h"

#include <utility>
#include <vector>

namespace rr::history {

/// Everything that observers recorded in one run. Only the thread that runs
/// the observers may record; the order of recording decides between events of
/// the same time.
struct History {
  std::vector<Event> Events;

  void record(Event Item) { this->Events.push_back(std::move(Item)); }
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_HISTORY_H
