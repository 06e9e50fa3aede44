#ifndef REDWINGRACK_INSTANCE_REQUESTQUEUE_H
#define REDWINGRACK_INSTANCE_REQUESTQUEUE_H

#include "base/OneShotEvent.h"
#include "instance/QueueEntry.h"
#include "limits/FairQueue.h"

#include <asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace rr {

/// Requests of one service that wait for a slot. One coroutine places them in
/// the order of the fair queue.
class RequestQueue {
public:
  /// Tries to place a request; false when nothing has room now.
  using Placer = std::function<bool(QueueEntry &Entry)>;

  RequestQueue(asio::any_io_executor Executor, Placer Place);

  /// Waits for a place. Errc::LimitReached or Errc::Timeout when the request
  /// is refused; it has not run then.
  asio::awaitable<Outcome<void>> wait(std::shared_ptr<QueueEntry> Entry);
  /// A slot may have become free.
  void wake();
  void setWeight(const std::string &Workspace, double Weight);
  std::size_t size() const { return this->Queue.size() + this->Placing; }

private:
  asio::awaitable<void> run();
  asio::awaitable<void> place(std::shared_ptr<QueueEntry> Entry);

  asio::any_io_executor Executor;
  Placer Place;
  FairQueue Queue;
  std::map<std::uint64_t, std::shared_ptr<QueueEntry>> Entries;
  std::unique_ptr<OneShotEvent> SlotFree;
  std::uint64_t LastId = 0;
  std::size_t Placing = 0;
  bool Running = false;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_REQUESTQUEUE_H
