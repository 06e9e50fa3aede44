#include "peerlink/CallTable.h"

#include "peerlink/Link.h"

#include <vector>

namespace rr {

CallTable::CallTable(const asio::any_io_executor &Executor)
    : DeadlineTimer(Executor) {}

void CallTable::add(std::uint64_t Id, const Link &Carrier, std::uint64_t Offset,
                    Clock::time_point Deadline, Handler Done) {
  this->Open.emplace(Id, Pending{&Carrier, Offset, Deadline, std::move(Done)});
  this->Deadlines.emplace(Deadline, Id);
  ++this->PerLink[&Carrier];
  this->schedule();
}

CallTable::Handler CallTable::take(Calls::iterator Found) {
  Handler Done = std::move(Found->second.Done);
  this->Deadlines.erase({Found->second.Deadline, Found->first});
  const auto Count = this->PerLink.find(Found->second.Carrier);
  if (--Count->second == 0)
    this->PerLink.erase(Count);
  this->Open.erase(Found);
  return Done;
}

bool CallTable::finish(std::uint64_t Id, const Link &Carrier,
                       Outcome<Message> Result) {
  const auto Found = this->Open.find(Id);
  if (Found == this->Open.end() || Found->second.Carrier != &Carrier)
    return false;
  this->take(Found)(std::move(Result));
  return true;
}

const Link *CallTable::linkOf(std::uint64_t Id) const {
  const auto Found = this->Open.find(Id);
  return Found == this->Open.end() ? nullptr : Found->second.Carrier;
}

void CallTable::fail(std::uint64_t Id, Errc Reason) {
  const auto Found = this->Open.find(Id);
  if (Found != this->Open.end())
    this->take(Found)(failure(Reason));
}

void CallTable::failLink(const Link &Carrier) {
  std::vector<std::pair<std::uint64_t, Errc>> Ended;
  for (const auto &[Id, Call] : this->Open) {
    if (Call.Carrier != &Carrier)
      continue;
    const bool NeverLeft = Call.Offset >= Carrier.offeredTotal();
    Ended.emplace_back(Id,
                       NeverLeft ? Errc::Unavailable : Errc::ConnectionLost);
  }
  for (const auto &[Id, Reason] : Ended)
    this->fail(Id, Reason);
}

std::size_t CallTable::countOn(const Link &Carrier) const {
  const auto Found = this->PerLink.find(&Carrier);
  return Found == this->PerLink.end() ? 0 : Found->second;
}

void CallTable::stop() { this->DeadlineTimer.cancel(); }

void CallTable::schedule() {
  if (this->Deadlines.empty() ||
      this->Deadlines.begin()->first >= this->Scheduled)
    return;
  this->Scheduled = this->Deadlines.begin()->first;
  this->DeadlineTimer.expires_at(this->Scheduled);
  this->DeadlineTimer.async_wait(
      [Weak = this->weak_from_this()](const asio::error_code &Error) {
        const auto Self = Weak.lock();
        if (Self && !Error)
          Self->expire();
      });
}

void CallTable::expire() {
  this->Scheduled = Clock::time_point::max();
  const auto Now = Clock::now();
  while (!this->Deadlines.empty() && this->Deadlines.begin()->first <= Now)
    this->fail(this->Deadlines.begin()->second, Errc::Timeout);
  this->schedule();
}

} // namespace rr
