#include "gateway/SteeringInstance.h"
#include "gateway/SteeringPollPeriods.h"
#include "logging/EventLog.h"

#include <random>

namespace rr {

void SteeringInstance::onStoreReturned() {
  for (TableWatch *Table :
       {&this->OrderTable, &this->BackendTable, &this->MemberTable})
    Table->retryNow();
}

bool SteeringInstance::isStoreRecovering() const {
  return this->BackendTable.availability().isRecovering(
      Clock::now(),
      {&this->OrderTable.availability(), &this->MemberTable.availability()});
}

void SteeringInstance::onOrdersRead(StoreVersion Read) {
  // A standby does not read the member table more often for this.
  if (!this->State.MembersKnown || this->State.Standby ||
      Read.Era <= this->Members.era())
    return;
  // A shorter period ends a pause between two reads. runAnnouncements() sets
  // the usual period again.
  this->MemberTable.setIntervals(MovePollPeriod, MovePollPeriod);
}

asio::awaitable<void> SteeringInstance::announceRestored() {
  RandomEngine Random(randomSeed());
  co_await sleepFor(Clock::duration(std::uniform_int_distribution<Clock::rep>(
      0, RestoredRowSpread.count())(Random)));
  if (!this->Stopped && this->Members.hasRowsToWriteAgain())
    this->AnnounceTimer.cancel();
}

asio::awaitable<void> SteeringInstance::writePeerSecret() {
  std::vector<TableWrite> Writes;
  Writes.push_back(this->Members.makeSecretRow());
  // If another instance writes a secret first, this write conflicts and that
  // secret is read.
  const auto Written = co_await this->Store.Commit(std::move(Writes));
  if (!Written && Written.error() != make_error_code(Errc::Conflict))
    logEvent(Event::OwnRowNotWritten, {{"error", Written.error().message()}});
  if (Written)
    this->Members.recordSecretWritten(*Written);
}

} // namespace rr
