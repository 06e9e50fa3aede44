#ifndef REDWINGRACK_ADMIN_ADMINSERVICES_H
#define REDWINGRACK_ADMIN_ADMINSERVICES_H

#include "admin/AdminReply.h"

#include <asio/awaitable.hpp>
#include <functional>
#include <string>

namespace rr {

/// What the administration API needs of the instance. Operator is the name of
/// the token that a call came with.
struct AdminServices {
  std::function<AdminReply()> Status;
  std::function<AdminReply()> Fleet;
  std::function<std::string()> Metrics;
  std::function<asio::awaitable<AdminReply>(std::string Operator,
                                            std::string Intent)>
      Propose;
  std::function<asio::awaitable<AdminReply>(std::string Operator,
                                            std::string Plan)>
      Confirm;
  std::function<asio::awaitable<AdminReply>(std::string Operator,
                                            std::string Plan)>
      TakeBack;
  std::function<asio::awaitable<AdminReply>(std::string Plan)> Show;
  std::function<asio::awaitable<AdminReply>()> ListPlans;
  std::function<asio::awaitable<AdminReply>()> Audit;
  std::function<AdminReply(std::string KeyHash)> KeyReport;
};

} // namespace rr

#endif // REDWINGRACK_ADMIN_ADMINSERVICES_H
