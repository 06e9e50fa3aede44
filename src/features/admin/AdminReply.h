#ifndef REDWINGRACK_ADMIN_ADMINREPLY_H
#define REDWINGRACK_ADMIN_ADMINREPLY_H

#include <string>

namespace rr {

/// Status and JSON body of an answer of the administration API.
struct AdminReply {
  int Status = 200;
  std::string Body = "{}";
};

/// An error with a stable code and a text for people.
AdminReply adminError(int Status, const std::string &Code,
                      const std::string &Detail);

} // namespace rr

#endif // REDWINGRACK_ADMIN_ADMINREPLY_H
