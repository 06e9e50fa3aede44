#ifndef REDWINGRACK_PLANS_PLANSTORE_H
#define REDWINGRACK_PLANS_PLANSTORE_H

#include "plans/PlanAnswer.h"
#include "plans/PlanChange.h"
#include "plans/PlanServices.h"
#include "platform/Platform.h"

#include <set>
#include <string>
#include <vector>

namespace rr {

/// Plans in the platform's table, and what operators do with them. Works at
/// every instance, with or without the lease.
class PlanStore {
public:
  /// Both outlive the object.
  PlanStore(const Platform &Store, const PlanServices &Services);

  /// Makes a plan and keeps it as proposed.
  asio::awaitable<PlanAnswer> propose(Intent Wish, std::string By);

  /// Confirms a proposed plan. Refused for good when the configuration is no
  /// longer the one that the plan was made from, or when another plan works
  /// on the same target.
  asio::awaitable<PlanAnswer> confirm(std::string Id, std::string By);

  /// Has the executor undo an active plan step by step.
  asio::awaitable<PlanAnswer> takeBack(std::string Id, std::string By,
                                       std::string Reason);

  /// Ends an active plan and leaves everything as it is now.
  asio::awaitable<PlanAnswer> stop(std::string Id, std::string By,
                                   std::string Reason);

  asio::awaitable<Outcome<PlanRecord>> read(std::string Id) const;

  /// All plans, oldest first.
  asio::awaitable<Outcome<std::vector<Plan>>> list() const;

  asio::awaitable<Outcome<std::set<std::string>>> activeIds() const;

  /// Writes a change in one transaction; an unanswered write is resolved.
  asio::awaitable<Outcome<void>> apply(PlanChange Change) const;

private:
  asio::awaitable<PlanAnswer> refuse(PlanRecord From, std::string By,
                                     std::vector<std::string> Reasons) const;
  asio::awaitable<Outcome<ControlChange>> controlOf(const Plan &Current) const;
  asio::awaitable<Outcome<std::vector<std::string>>>
  targetsTaken(Plan Current, const FleetConfig &Next) const;
  asio::awaitable<std::vector<std::string>> changedSince(Plan Current) const;
  asio::awaitable<PlanAnswer> afterConflict(std::string Id, std::string By,
                                            Plan Confirmed) const;
  asio::awaitable<PlanAnswer> editActive(std::string Id, std::string By,
                                         std::string Reason,
                                         bool TakeBack) const;

  const Platform &Store;
  const PlanServices &Services;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANSTORE_H
