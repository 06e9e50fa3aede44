#ifndef REDWINGRACK_INSTANCE_OPERATORSERVICE_H
#define REDWINGRACK_INSTANCE_OPERATORSERVICE_H

#include "admin/AdminServices.h"
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
  asio::awaitable<AdminReply> proposeWithdrawal(std::string Operator,
                                                std::string Hash);
  asio::awaitable<AdminReply> withdraw(std::string Hash);

  InstanceState &State;
  FleetWork &Work;
  Metrics &Counters;
  /// Withdrawals that were proposed while the store was down, by plan.
  std::map<std::string, std::string> StorelessWithdrawals;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_OPERATORSERVICE_H
