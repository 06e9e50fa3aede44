#ifndef REDWINGRACK_HISTORY_TIMELINE_H
#define REDWINGRACK_HISTORY_TIMELINE_H

#include "history/History.h"
#include "history/RequestTrace.h"

#include <map>
#include <string>
#include <vector>

namespace rr::history {

/// A history in order of time, with its requests gathered by id. Keeps a copy
/// of the events.
class Timeline {
public:
  explicit Timeline(const History &Recorded);
  Timeline(const Timeline &) = delete;
  Timeline &operator=(const Timeline &) = delete;

  const std::vector<Event> &events() const { return this->Events; }
  /// By request id.
  const std::map<std::string, RequestTrace> &requests() const {
    return this->Requests;
  }
  /// The request with that id; an empty trace when there is none.
  const RequestTrace &request(const std::string &Id) const;

  /// All events of one type, in order of time.
  template <typename T> std::vector<const T *> all() const {
    std::vector<const T *> Found;
    for (const Event &Item : this->Events)
      if (const T *Value = std::get_if<T>(&Item))
        Found.push_back(Value);
    return Found;
  }

private:
  std::vector<Event> Events;
  std::map<std::string, RequestTrace> Requests;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_TIMELINE_H
