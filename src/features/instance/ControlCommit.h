#ifndef REDWINGRACK_INSTANCE_CONTROLCOMMIT_H
#define REDWINGRACK_INSTANCE_CONTROLCOMMIT_H

#include "plans/ControlChange.h"
#include "platform/Platform.h"

#include <asio/awaitable.hpp>

namespace rr {

/// Commits a change of control state as one transaction on `control/head`.
/// Errc::Conflict when the configuration is not at the base version any more
/// or a condition of the change does not hold; Errc::Unavailable when it
/// certainly had no effect; Errc::Unknown when the store cannot tell.
asio::awaitable<Outcome<ControlMark>> commitControl(const Platform &Store,
                                                    ControlChange Change);

/// An earlier configuration; Errc::NotFound when it is not kept.
asio::awaitable<Outcome<FleetConfig>> configAt(const Platform &Store,
                                               std::uint64_t Version);

} // namespace rr

#endif // REDWINGRACK_INSTANCE_CONTROLCOMMIT_H
