#include "testing/FakePlatform.h"

#include "base/Timer.h"

#include <algorithm>

namespace rr {

void FakePlatform::put(const std::string &Key, const std::string &Value) {
  Row &Target = this->Rows[Key];
  Target.Key = Key;
  Target.Value = Value;
  ++Target.Version;
}

bool FakePlatform::conditionHolds(const RowWrite &Write) const {
  if (!Write.ExpectedVersion)
    return true;
  const auto Found = this->Rows.find(Write.Key);
  const std::uint64_t Current =
      Found == this->Rows.end() ? RowWrite::Absent : Found->second.Version;
  return Current == *Write.ExpectedVersion;
}

Outcome<void> FakePlatform::apply(const Transaction &Request) {
  ++this->Writes;
  const auto Holds = [&](const RowWrite &Write) {
    return this->conditionHolds(Write);
  };
  if (!std::all_of(Request.Writes.begin(), Request.Writes.end(), Holds))
    return failure(Errc::Conflict);
  for (const RowWrite &Write : Request.Writes) {
    if (Write.Action == RowWrite::Kind::Put)
      this->put(Write.Key, Write.Value);
    else if (Write.Action == RowWrite::Kind::Erase)
      this->Rows.erase(Write.Key);
  }
  return {};
}

asio::awaitable<bool>
FakePlatform::delayAndCheckReachable(const bool *Disconnected) {
  if (this->Latency > Clock::duration::zero())
    co_await sleepFor(this->Latency);
  co_return !this->Down && !(Disconnected && *Disconnected);
}

asio::awaitable<Outcome<void>> FakePlatform::commit(Transaction Request,
                                                    const bool *Disconnected) {
  if (!co_await this->delayAndCheckReachable(Disconnected))
    co_return failure(Errc::Unavailable);
  const Outcome<void> Result = this->apply(Request);
  if (this->LoseAnswers == 0 || !Result)
    co_return Result;
  --this->LoseAnswers;
  this->Down = this->Down || this->DownAfterLostAnswer;
  co_return failure(Errc::Unknown);
}

Platform FakePlatform::platform(const bool *Disconnected) {
  Platform Result;
  Result.ReadRow =
      [this, Disconnected](
          std::string Key) -> asio::awaitable<Outcome<std::optional<Row>>> {
    if (!co_await this->delayAndCheckReachable(Disconnected))
      co_return failure(Errc::Unavailable);
    ++this->Reads;
    const auto Found = this->Rows.find(Key);
    if (Found == this->Rows.end())
      co_return std::optional<Row>();
    co_return std::optional<Row>(Found->second);
  };
  Result.ListRows =
      [this, Disconnected](
          std::string Prefix, std::string After,
          std::size_t Limit) -> asio::awaitable<Outcome<std::vector<Row>>> {
    if (!co_await this->delayAndCheckReachable(Disconnected))
      co_return failure(Errc::Unavailable);
    ++this->Reads;
    std::vector<Row> Found;
    auto Next = After.empty() ? this->Rows.lower_bound(Prefix)
                              : this->Rows.upper_bound(After);
    for (; Next != this->Rows.end() && Found.size() < Limit; ++Next) {
      if (Next->first.compare(0, Prefix.size(), Prefix) != 0)
        break;
      Found.push_back(Next->second);
    }
    co_return Found;
  };
  Result.Commit = [this, Disconnected](Transaction Request) {
    return this->commit(std::move(Request), Disconnected);
  };
  Result.GetObject =
      [this, Disconnected](
          std::string Name) -> asio::awaitable<Outcome<std::string>> {
    if (!co_await this->delayAndCheckReachable(Disconnected))
      co_return failure(Errc::Unavailable);
    ++this->Reads;
    const auto Found = this->Objects.find(Name);
    if (Found == this->Objects.end())
      co_return failure(Errc::NotFound);
    co_return Found->second;
  };
  Result.PutObject =
      [this, Disconnected](std::string Name,
                           std::string Data) -> asio::awaitable<Outcome<void>> {
    if (!co_await this->delayAndCheckReachable(Disconnected))
      co_return failure(Errc::Unavailable);
    ++this->Writes;
    this->Objects[Name] = std::move(Data);
    co_return Outcome<void>();
  };
  Result.ListInstances = [this, Disconnected]()
      -> asio::awaitable<Outcome<std::vector<InstanceRecord>>> {
    if (!co_await this->delayAndCheckReachable(Disconnected))
      co_return failure(Errc::Unavailable);
    ++this->Reads;
    std::vector<InstanceRecord> Found;
    for (const auto &[Name, Record] : this->Instances)
      Found.push_back(Record);
    co_return Found;
  };
  Result.AnnounceInstance =
      [this,
       Disconnected](InstanceRecord Self) -> asio::awaitable<Outcome<void>> {
    if (!co_await this->delayAndCheckReachable(Disconnected))
      co_return failure(Errc::Unavailable);
    ++this->Writes;
    this->Instances[Self.Name] = Self;
    co_return Outcome<void>();
  };
  return Result;
}

} // namespace rr
