#ifndef REDWINGRACK_USAGE_RESTOREDBED_H
#define REDWINGRACK_USAGE_RESTOREDBED_H

#include "usage/UsageTestBed.h"

#include <catch2/catch.hpp>

namespace rr {

/// Reporters whose store comes back from a copy. Checks at the end that the
/// API got nothing that no instance may send.
struct RestoredBed : UsageTestBed {
  explicit RestoredBed(std::size_t Count = 3) : UsageTestBed(Count) {}
  ~RestoredBed() {
    for (const std::string &Text : this->Api.violations())
      UNSCOPED_INFO(Text);
    CHECK(this->Api.violations().empty());
  }

  void keepCopy() { this->Saved = this->Tables.copy(); }
  /// Other programs use up versions of the store.
  void writeOthers(int Count) {
    for (int Index = 0; Index < Count; ++Index)
      this->Tables.put("other", "row", std::to_string(Index));
  }
  /// The store is away for \p Away, and comes back from the copy.
  void restore(Clock::duration Away = std::chrono::milliseconds(300)) {
    this->Tables.Down = true;
    this->advance(Away);
    this->Tables.restore(*this->Saved);
    this->Tables.Down = false;
  }
  void restartAll() {
    for (const auto &Item : this->Nodes) {
      if (Item->Reporter)
        this->kill(*Item);
      this->start(*Item);
    }
  }
  /// Kills the holder and waits for the next one.
  Node *replaceHolder() {
    this->kill(*this->holder());
    Node *const Next = this->awaitHolder();
    REQUIRE(Next);
    return Next;
  }

  std::shared_ptr<const FakeTables::Copy> Saved;
};

} // namespace rr

#endif // REDWINGRACK_USAGE_RESTOREDBED_H
