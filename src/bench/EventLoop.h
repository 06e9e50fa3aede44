#ifndef REDWINGRACK_BENCH_EVENTLOOP_H
#define REDWINGRACK_BENCH_EVENTLOOP_H

#include "base/Clock.h"

#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace rr {

/// Runs events in the order of time and moves the paused clock to each.
class EventLoop {
public:
  EventLoop() : Start(Clock::now()) {}

  void at(Clock::time_point Time, std::function<void()> Task) {
    this->Events.push({Time, this->Next++, std::move(Task)});
  }
  void after(Clock::duration Delay, std::function<void()> Task) {
    this->at(Clock::now() + Delay, std::move(Task));
  }
  void every(Clock::duration Period, Clock::duration First,
             std::function<void()> Task) {
    this->after(First, [this, Period, Task = std::move(Task)] {
      Task();
      this->every(Period, Period, Task);
    });
  }

  /// Runs everything up to \p Length after the start.
  void run(Clock::duration Length) {
    const Clock::time_point End = this->Start + Length;
    while (!this->Events.empty() && this->Events.top().Time <= End) {
      const Event First = this->Events.top();
      this->Events.pop();
      if (First.Time > Clock::now())
        Clock::advance(First.Time - Clock::now());
      First.Task();
    }
  }

  Clock::duration elapsed() const { return Clock::now() - this->Start; }
  double seconds() const {
    return std::chrono::duration<double>(this->elapsed()).count();
  }

private:
  struct Event {
    Clock::time_point Time;
    std::uint64_t Order;
    std::function<void()> Task;

    bool operator<(const Event &Other) const {
      return std::tie(Other.Time, Other.Order) <
             std::tie(this->Time, this->Order);
    }
  };

  Clock::time_point Start;
  std::uint64_t Next = 0;
  std::priority_queue<Event> Events;
};

} // namespace rr

#endif // REDWINGRACK_BENCH_EVENTLOOP_H
