#ifndef REDWINGRACK_CONFIGURATION_HEADVIEW_H
#define REDWINGRACK_CONFIGURATION_HEADVIEW_H

#include "base/Clock.h"
#include "configuration/ControlHead.h"
#include "platform/Platform.h"

#include <cstdint>

namespace rr {

/// Result of one read of `control/head`.
struct HeadView {
  ControlHead Head;
  /// RowWrite::Absent while the row does not exist.
  std::uint64_t RowVersion = 0;
  /// When the read started; the age of proof A counts from here.
  Clock::time_point Start;
};

/// One attempt, so that the start time is that of the attempt that succeeded.
asio::awaitable<Outcome<HeadView>> readHead(const Platform &Store);

/// The write that replaces the head that \p Base was read from.
RowWrite makeHeadWrite(const HeadView &Base, const ControlHead &Next);

} // namespace rr

#endif // REDWINGRACK_CONFIGURATION_HEADVIEW_H
