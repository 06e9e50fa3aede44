#ifndef REDWINGRACK_HISTORY_INSTANCESTATE_H
#define REDWINGRACK_HISTORY_INSTANCESTATE_H

namespace rr::history {

/// What happened to an instance.
enum class InstanceState {
  Started,
  /// The planned stop began (SIGTERM).
  StopBegan,
  /// The process ended after a planned stop.
  Stopped,
  /// The process, or its machine, was ended without a planned stop.
  Killed,
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_INSTANCESTATE_H
