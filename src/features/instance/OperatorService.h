#ifndef REDWINGRACK_INSTANCE_OPERATORSERVICE_H
#define REDWINGRACK_INSTANCE_OPERATORSERVICE_H

#include "admin/AdminServices.h"
#include "base/Outcome.h"
#include "plans/Intent.h"
#include "plans/PlanAnswer.h"

#include <map>

namespace rr {

class FleetWork;
class Metrics;
struct InstanceState;

/// Answers the administration API.
class OperatorService {
public:
  OperatorService(InstanceState &State, FleetWork &Work, Metrics &Counters);

  AdminServices services();

private:
  AdminReply status() const;
  AdminReply fleet();
  AdminReply keyReport(const std::string &Hash);
  asio::awaitable<AdminReply> propose(std::string Operator, std::string Text);
  asio::awaitable<AdminReply> confirm(std::string Operator, std::string Plan);
  asio::awaitable<AdminReply> takeBack(std::string Operator, std::string Plan);
  asio::awaitable<AdminReply> show(std::string Plan);
  asio::awaitable<AdminReply> list();
  asio::awaitable<AdminReply> audit();
  /// Answers with a plan that this instance alone keeps.
  AdminReply proposeStoreless(Intent Wish);
  asio::awaitable<AdminReply> confirmStoreless(std::string Operator,
                                               std::string Plan);
  AdminReply showStoreless(const std::string &Plan);
  asio::awaitable<Outcome<void>> withdraw(std::string Hash);

  InstanceState &State;
  FleetWork &Work;
  Metrics &Counters;
  /// Key withdrawals and losses of instances that were proposed while the
  /// store was down.
  struct StorelessPlan {
    Intent Wish;
    bool Confirmed = false;
  };
  std::map<std::string, StorelessPlan> StorelessPlans;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_OPERATORSERVICE_H
