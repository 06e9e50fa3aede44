#ifndef REDWINGRACK_TESTING_RUNREADY_H
#define REDWINGRACK_TESTING_RUNREADY_H

#include <asio/io_context.hpp>

#include <vector>

namespace rr {

/// Runs all handlers of \p Contexts that are ready and all timers that are due
/// on the paused clock, including those that these handlers start.
void runReady(const std::vector<asio::io_context *> &Contexts);

inline void runReady(asio::io_context &Context) { runReady({&Context}); }

} // namespace rr

#endif // REDWINGRACK_TESTING_RUNREADY_H
