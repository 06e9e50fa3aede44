#ifndef REDWINGRACK_LOOKUP_ENTRYINSTANCE_H
#define REDWINGRACK_LOOKUP_ENTRYINSTANCE_H

#include <string>

namespace rr {

/// An instance that callers may be sent to.
struct EntryInstance {
  enum class State { Live, Leaving, Silent };

  std::string Name;
  /// IP number and port.
  std::string Address;
  std::string Zone;
  State Status = State::Live;
};

} // namespace rr

#endif // REDWINGRACK_LOOKUP_ENTRYINSTANCE_H
