#include "plans/PlanRows.h"

#include "base/Random.h"
#include "plans/PlanJson.h"

#include <cstdio>

namespace rr {

namespace {

std::string padded(std::int64_t Value, int Digits) {
  char Buffer[32];
  std::snprintf(Buffer, sizeof Buffer, "%0*lld", Digits,
                static_cast<long long>(Value));
  return Buffer;
}

RowWrite auditWrite(const PlanChange &Change, const std::string &Key,
                    WallTime Now) {
  const nlohmann::json Value = {
      {"plan", Change.Next.Id},
      {"from", nameOf(Change.From.Current.State)},
      {"to", nameOf(Change.Next.State)},
      {"share", Change.Next.Share},
      {"by", Change.By},
      {"reason", Change.Reason},
      {"at", formatWallTime(Now)},
      // Makes the value the mark of this one transaction.
      {"token", randomToken()}};
  return {RowWrite::Kind::Put, Key, Value.dump(), RowWrite::Absent};
}

void addTargets(const PlanChange &Change, Transaction &Writes) {
  const bool Had = isActive(Change.From.Current.State);
  const bool Has = isActive(Change.Next.State);
  if (Had == Has)
    return;
  const std::string Value = nlohmann::json{{"plan", Change.Next.Id}}.dump();
  for (const std::string &Target : Change.Next.Targets) {
    const std::string Key = TargetPrefix + Target;
    if (Has)
      Writes.Writes.push_back(
          {RowWrite::Kind::Put, Key, Value, RowWrite::Absent});
    else
      Writes.Writes.push_back({RowWrite::Kind::Erase, Key, "", std::nullopt});
  }
}

} // namespace

std::string planKey(const std::string &Id) { return "plans/" + Id; }

std::string newPlanId(WallTime Now) {
  const auto Time = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now.time_since_epoch());
  return padded(Time.count(), 13) + "-" + randomToken().substr(0, 8);
}

std::string newAuditKey(WallTime Now) {
  const auto Time = std::chrono::duration_cast<std::chrono::microseconds>(
      Now.time_since_epoch());
  // A number from the time and three random digits gave two writes of the same
  // microsecond one key in 1 of 1,000 cases, and the second was refused.
  return "audit/" + padded(Time.count(), 16) + "-" +
         randomToken().substr(0, 12);
}

std::string documentName(const std::string &Hash) {
  return "documents/" + Hash;
}

Transaction planWrites(const PlanChange &Change, const ControlMark &Mark,
                       const std::string &AuditKey, WallTime Now) {
  Plan Next = Change.Next;
  if (Mark.isSet())
    Next.Applied = Mark;
  Transaction Result;
  Result.Writes.push_back({RowWrite::Kind::Put, planKey(Next.Id),
                           formatPlan(Next).dump(), Change.From.RowVersion});
  Result.Writes.push_back(auditWrite(Change, AuditKey, Now));
  if (Change.Fence)
    Result.Writes.push_back(*Change.Fence);
  addTargets(Change, Result);
  return Result;
}

} // namespace rr
