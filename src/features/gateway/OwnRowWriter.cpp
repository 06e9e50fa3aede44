#include "gateway/OwnRowWriter.h"

#include "gateway/MemberRegistry.h"
#include "tables/BootTime.h"
#include "tables/TableStore.h"
#include "tables/TableWatch.h"

namespace rr {

namespace {

/// Attempts of one announcement. The second one knows the version; it fails
/// only if a late write is executed between the read and the write.
constexpr int MaxAttempts = 3;

} // namespace

asio::awaitable<Outcome<void>> OwnRowWriter::write() {
  // Whether the others went on without this instance shows in their rows.
  if (!this->State.Standby &&
      this->State.QuotaParticipation.isExpired(bootTime()))
    co_await this->MemberTable.refresh();
  Outcome<StoreVersion> Written = failure(Errc::Conflict);
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    if (Attempt > 0 && this->Members.isSucceeded())
      co_return failure(Errc::Conflict);
    const bool Standby = this->State.Standby;
    // Read before the row is made: the row must not expire at the others before
    // this instance counts it as expired.
    const Clock::time_point Start = bootTime();
    std::vector<TableWrite> Writes;
    Writes.push_back(this->Members.makeOwnRow(Clock::now()));
    Written = co_await this->Store.Commit(std::move(Writes));
    if (Written) {
      this->Members.recordOwnRowWritten(Start, Standby, *Written);
      co_return Outcome<void>{};
    }
    if (Written.error() != make_error_code(Errc::Conflict))
      break;
    co_await this->readVersion();
  }
  co_return tl::unexpected<std::error_code>(Written.error());
}

asio::awaitable<void> OwnRowWriter::readVersion() {
  const StoreVersion Before = this->Members.ownRowVersion();
  co_await this->MemberTable.refresh();
  if (this->Members.ownRowVersion() != Before)
    co_return;
  // The changes could not be read, or the watch has passed the row's change.
  const auto Rows = co_await this->Store.ReadTable(MemberRegistry::Table);
  if (Rows)
    this->Members.readOwnRowVersion(*Rows);
}

} // namespace rr
