#ifndef REDWINGRACK_MEMBERSHIP_MESSAGEGAP_H
#define REDWINGRACK_MEMBERSHIP_MESSAGEGAP_H

namespace rr {

/// What a received message refers to that is missing here. The receiver
/// fetches it from the sender.
struct MessageGap {
  /// Control state or pending withdrawals.
  bool State = false;
  /// The members differ.
  bool Members = false;
};

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_MESSAGEGAP_H
