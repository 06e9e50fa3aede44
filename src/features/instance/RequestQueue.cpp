#include "instance/RequestQueue.h"

#include "base/Timer.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <utility>

namespace rr {

namespace {

constexpr std::size_t MostPerWorkspace = 256;
// Other owners' slots become free without word to this instance.
constexpr std::chrono::milliseconds RetryInterval{5};

} // namespace

RequestQueue::RequestQueue(asio::any_io_executor Executor, Placer Place)
    : Executor(std::move(Executor)), Place(std::move(Place)),
      Queue(MostPerWorkspace) {}

void RequestQueue::setWeight(const std::string &Workspace, double Weight) {
  this->Queue.setWeight(Workspace, Weight);
}

void RequestQueue::wake() {
  if (this->SlotFree)
    this->SlotFree->set();
}

asio::awaitable<Outcome<void>>
RequestQueue::wait(std::shared_ptr<QueueEntry> Entry) {
  const std::uint64_t Id = ++this->LastId;
  QueuedRequest Item;
  Item.Id = Id;
  Item.Workspace = Entry->Workspace;
  Item.Deadline = Entry->Request.Deadline;
  const auto Pushed = this->Queue.push(Item, Clock::now());
  if (!Pushed)
    co_return Pushed;
  this->Entries[Id] = Entry;
  if (!this->Running) {
    this->Running = true;
    asio::co_spawn(this->Executor, this->run(), asio::detached);
  }
  co_await Entry->Done.waitUntil(Entry->Request.Deadline);
  if (Entry->Placed)
    co_return Outcome<void>();
  this->Queue.cancel(Entry->Workspace, Id);
  this->Entries.erase(Id);
  co_return failure(Errc::Timeout);
}

asio::awaitable<void> RequestQueue::run() {
  std::vector<QueuedRequest> Expired;
  while (auto Next = this->Queue.pop(Clock::now(), Expired)) {
    for (const QueuedRequest &Item : std::exchange(Expired, {}))
      if (const auto Found = this->Entries.extract(Item.Id))
        Found.mapped()->Done.set();
    const auto Found = this->Entries.extract(Next->Id);
    if (!Found)
      continue;
    this->Placing = 1;
    co_await this->place(Found.mapped());
    this->Placing = 0;
  }
  for (const QueuedRequest &Item : Expired)
    if (const auto Found = this->Entries.extract(Item.Id))
      Found.mapped()->Done.set();
  this->Running = false;
}

asio::awaitable<void> RequestQueue::place(std::shared_ptr<QueueEntry> Entry) {
  while (Clock::now() < Entry->Request.Deadline) {
    if (Entry->Cancel && Entry->Cancel->isCancelled())
      break;
    if (this->Place(*Entry)) {
      Entry->Placed = true;
      break;
    }
    this->SlotFree = std::make_unique<OneShotEvent>(this->Executor);
    co_await this->SlotFree->waitUntil(
        std::min(Clock::now() + RetryInterval, Entry->Request.Deadline));
  }
  Entry->Done.set();
}

} // namespace rr
