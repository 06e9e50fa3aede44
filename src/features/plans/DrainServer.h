#ifndef REDWINGRACK_PLANS_DRAINSERVER_H
#define REDWINGRACK_PLANS_DRAINSERVER_H

#include <chrono>
#include <string>

namespace rr {

/// Intent: give a backend server no new work and wait until it is empty.
struct DrainServer {
  std::string Server;
  /// Lets a drained server take work again.
  bool Undo = false;
  /// After this time the plan ends and says what is left on the server.
  std::chrono::seconds Longest{300};
};

} // namespace rr

#endif // REDWINGRACK_PLANS_DRAINSERVER_H
