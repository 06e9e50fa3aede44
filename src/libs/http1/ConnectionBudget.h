#ifndef REDWINGRACK_HTTP1_CONNECTIONBUDGET_H
#define REDWINGRACK_HTTP1_CONNECTIONBUDGET_H

#include "http1/ConnectionParts.h"

#include <memory>

namespace rr {

/// Counts the connections of a process. A use may exceed its guaranteed part
/// while the guaranteed parts of the other uses stay available.
class ConnectionBudget : public std::enable_shared_from_this<ConnectionBudget> {
public:
  /// One connection; returned to the budget on destruction.
  class Slot {
  public:
    Slot(std::shared_ptr<ConnectionBudget> Budget, ConnectionUse Use)
        : Budget(std::move(Budget)), Use(Use) {}
    ~Slot() { --this->Budget->Used[std::size_t(this->Use)]; }
    Slot(const Slot &) = delete;
    Slot &operator=(const Slot &) = delete;

  private:
    std::shared_ptr<ConnectionBudget> Budget;
    ConnectionUse Use;
  };
  using SlotPtr = std::shared_ptr<Slot>;

  explicit ConnectionBudget(const ConnectionParts &Parts) : Parts(Parts) {}

  /// Null when \p Use may have no more connections at present.
  SlotPtr tryTake(ConnectionUse Use);
  /// Sets the number of connections of a use that takes no slots.
  void setUsed(ConnectionUse Use, std::size_t Count) {
    this->Used[std::size_t(Use)] = Count;
  }

  std::size_t used(ConnectionUse Use) const {
    return this->Used[std::size_t(Use)];
  }
  /// Connections that \p Use may have at present, including those that it has.
  std::size_t limit(ConnectionUse Use) const;
  std::size_t guaranteed(ConnectionUse Use) const {
    return this->Parts.Guaranteed[std::size_t(Use)];
  }
  const ConnectionParts &parts() const { return this->Parts; }

private:
  ConnectionParts Parts;
  std::array<std::size_t, ConnectionUseCount> Used{};
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_CONNECTIONBUDGET_H
