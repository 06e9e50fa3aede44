#ifndef REDWINGRACK_MEMBERSHIP_MESSAGEGAP_H
#define REDWINGRACK_MEMBERSHIP_MESSAGEGAP_H

#include <string>
#include <vector>

namespace rr {

/// What a received message refers to that is missing here. The receiver
/// fetches it from the sender.
struct MessageGap {
  /// Control state or pending withdrawals.
  bool State = false;
  /// Zones whose members differ.
  std::vector<std::string> Zones;
};

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_MESSAGEGAP_H
