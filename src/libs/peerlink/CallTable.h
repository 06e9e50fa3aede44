#ifndef REDWINGRACK_PEERLINK_CALLTABLE_H
#define REDWINGRACK_PEERLINK_CALLTABLE_H

#include "base/Outcome.h"
#include "base/Timer.h"
#include "peerlink/Message.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

namespace rr {

class Link;

/// Outgoing calls that have not been answered yet, with their deadlines.
class CallTable : public std::enable_shared_from_this<CallTable> {
public:
  using Handler = std::function<void(Outcome<Message>)>;

  explicit CallTable(const asio::any_io_executor &Executor);

  std::uint64_t nextId() { return ++this->LastId; }
  /// \p Offset is the position of the call in the output of \p Carrier, in
  /// bytes since the link was opened.
  void add(std::uint64_t Id, const Link &Carrier, std::uint64_t Offset,
           Clock::time_point Deadline, Handler Done);
  /// Passes the result to the caller. Returns false when the call is not
  /// pending on \p Carrier, for example because it has timed out.
  bool finish(std::uint64_t Id, const Link &Carrier, Outcome<Message> Result);
  /// Link that carries a pending call; nullptr when the call has ended.
  const Link *linkOf(std::uint64_t Id) const;
  void fail(std::uint64_t Id, Errc Reason);
  /// Ends the calls of a closed link: with Errc::Unavailable those of which no
  /// byte was passed to the operating system, with Errc::ConnectionLost the
  /// others, which the peer may have run.
  void failLink(const Link &Carrier);
  std::size_t countOn(const Link &Carrier) const;
  void stop();

private:
  struct Pending {
    const Link *Carrier;
    std::uint64_t Offset;
    Clock::time_point Deadline;
    Handler Done;
  };
  using Calls = std::unordered_map<std::uint64_t, Pending>;

  Handler take(Calls::iterator Found);
  void schedule();
  void expire();

  Timer DeadlineTimer;
  Clock::time_point Scheduled = Clock::time_point::max();
  std::uint64_t LastId = 0;
  Calls Open;
  std::set<std::pair<Clock::time_point, std::uint64_t>> Deadlines;
  std::map<const Link *, std::size_t> PerLink;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_CALLTABLE_H
