#ifndef REDWINGRACK_CONFIGURATION_HEADVIEW_H
#define REDWINGRACK_CONFIGURATION_HEADVIEW_H

#include "base/Clock.h"
#include "configuration/ControlHead.h"
#include "platform/Platform.h"

#include <cstdint>

namespace rr {

/// Result of one read of the row `control/head`.
struct HeadView {
  ControlHead Head;
  /// RowWrite::Absent while the row does not exist.
  std::uint64_t RowVersion = 0;
  /// When the read started; the age of freshness proof A is measured from here.
  Clock::time_point Start;
};

/// Reads the row without retries, so that HeadView::Start belongs to the
/// attempt that succeeded. Errc::Malformed if the row is invalid.
asio::awaitable<Outcome<HeadView>> readHead(const Platform &Store);

/// Returns the write that replaces the row, on condition that it is still at
/// the version that \p Base was read at.
RowWrite makeHeadWrite(const HeadView &Base, const ControlHead &Next);

} // namespace rr

#endif // REDWINGRACK_CONFIGURATION_HEADVIEW_H
