#ifndef REDWINGRACK_LOOKUP_RANGESWEEP_H
#define REDWINGRACK_LOOKUP_RANGESWEEP_H

#include "lookup/BlockRow.h"
#include "lookup/Key6.h"

#include <vector>

namespace rr {

/// Turns nested prefixes into ranges without overlap, a few rows at a time.
template <typename Key, typename Table> class RangeSweep {
public:
  RangeSweep(const std::vector<BlockRow<Key>> &Rows, std::uint32_t NoValue)
      : Rows(Rows), NoValue(NoValue) {
    // A prefix adds at most one range for itself and one behind it.
    this->Result.reserve(2 * Rows.size() + 1);
    this->Result.append(Key{}, NoValue);
  }

  /// Reads at most \p MaxRows rows; returns whether the table is complete.
  bool step(std::size_t MaxRows) {
    for (; MaxRows > 0 && this->Position < this->Rows.size(); --MaxRows) {
      const BlockRow<Key> &Row = this->Rows[this->Position++];
      while (!this->Open.empty() && this->Open.back().Last < Row.First)
        this->closeInnermost();
      this->Open.push_back({lastKey(Row.First, Row.Length), Row.SiteList});
      this->Result.append(Row.First, Row.SiteList);
    }
    if (this->Position < this->Rows.size())
      return false;
    while (!this->Open.empty())
      this->closeInnermost();
    this->Result.finish();
    return true;
  }

  Table take() { return std::move(this->Result); }

private:
  struct OpenPrefix {
    Key Last;
    std::uint32_t Value;
  };

  void closeInnermost() {
    const Key Next = nextKey(this->Open.back().Last);
    this->Open.pop_back();
    if (Next != Key{})
      this->Result.append(Next, this->Open.empty() ? this->NoValue
                                                   : this->Open.back().Value);
  }

  const std::vector<BlockRow<Key>> &Rows;
  std::uint32_t NoValue;
  std::size_t Position = 0;
  std::vector<OpenPrefix> Open;
  Table Result;
};

} // namespace rr

#endif // REDWINGRACK_LOOKUP_RANGESWEEP_H
