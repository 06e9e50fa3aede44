#include "lookup/BlockSet.h"

#include <algorithm>

namespace rr {

namespace {

template <typename Key> struct RowChange {
  BlockRow<Key> Row;
  bool Remove = false;
  /// Position among the changes.
  std::size_t Order = 0;
};

template <typename Key>
void merge(std::vector<BlockRow<Key>> &Rows,
           std::vector<RowChange<Key>> &Changes) {
  if (Changes.empty())
    return;
  std::ranges::sort(Changes, [](const auto &Left, const auto &Right) {
    if (Left.Row < Right.Row || Right.Row < Left.Row)
      return Left.Row < Right.Row;
    return Left.Order < Right.Order;
  });
  std::vector<BlockRow<Key>> Result;
  Result.reserve(Rows.size() + Changes.size());
  auto Old = Rows.begin();
  for (std::size_t I = 0; I < Changes.size(); ++I) {
    const BlockRow<Key> &Row = Changes[I].Row;
    if (I + 1 < Changes.size() && !(Row < Changes[I + 1].Row))
      continue;
    while (Old != Rows.end() && *Old < Row)
      Result.push_back(*Old++);
    if (Old != Rows.end() && !(Row < *Old))
      ++Old;
    if (!Changes[I].Remove)
      Result.push_back(Row);
  }
  Result.insert(Result.end(), Old, Rows.end());
  Result.shrink_to_fit();
  Rows = std::move(Result);
}

} // namespace

void BlockSet::apply(const std::vector<BlockChange> &Changes) {
  std::vector<RowChange<std::uint32_t>> Changes4;
  std::vector<RowChange<Key6>> Changes6;
  for (const BlockChange &Change : Changes) {
    const IpAddress &First = Change.Prefix.Address;
    const std::uint32_t SiteList = Change.SiteList.value_or(0);
    const bool Remove = !Change.SiteList;
    const std::size_t Order = Changes4.size() + Changes6.size();
    const std::uint8_t Length = Change.Prefix.Length;
    if (First.IsV4)
      Changes4.push_back(
          {{static_cast<std::uint32_t>(First.Low), SiteList, Length},
           Remove,
           Order});
    else
      Changes6.push_back(
          {{{First.High, First.Low}, SiteList, Length}, Remove, Order});
  }
  merge(this->Rows4, Changes4);
  merge(this->Rows6, Changes6);
}

std::size_t BlockSet::memoryBytes() const {
  return this->Rows4.capacity() * sizeof(BlockRow<std::uint32_t>) +
         this->Rows6.capacity() * sizeof(BlockRow<Key6>);
}

} // namespace rr
