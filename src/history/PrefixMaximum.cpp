#include "history/PrefixMaximum.h"

#include <cassert>
#include <limits>

namespace rr::history {

PrefixMaximum::PrefixMaximum(const std::vector<double> &Values) {
  while (this->Size < Values.size())
    this->Size *= 2;
  this->Nodes.resize(2 * this->Size,
                     {-std::numeric_limits<double>::infinity(), 0});
  for (std::size_t I = 0; I < Values.size(); ++I)
    this->Nodes[this->Size + I] = {Values[I], I};
  for (std::size_t I = this->Size - 1; I > 0; --I)
    this->update(I);
}

void PrefixMaximum::update(std::size_t Position) {
  Node &Parent = this->Nodes[Position];
  const Node &Left = this->Nodes[2 * Position];
  const Node &Right = this->Nodes[2 * Position + 1];
  const Node &Larger = Left.Maximum >= Right.Maximum ? Left : Right;
  Parent.Maximum = Larger.Maximum + Parent.Added;
  Parent.Index = Larger.Index;
}

void PrefixMaximum::addToPrefix(std::size_t Count, double Amount) {
  assert(Count <= this->Size);
  // The prefix is a row of whole subtrees on the left of the path to Count.
  const auto Add = [this, Amount](std::size_t Position) {
    this->Nodes[Position].Maximum += Amount;
    this->Nodes[Position].Added += Amount;
  };
  if (Count == this->Size) {
    Add(1);
    return;
  }
  std::size_t Position = this->Size + Count;
  while (Position > 1) {
    if (Position % 2 == 1)
      Add(Position - 1);
    Position /= 2;
    this->update(Position);
  }
}

std::pair<double, std::size_t>
PrefixMaximum::maximumOfPrefix(std::size_t Count) const {
  assert(Count > 0 && Count <= this->Size);
  if (Count == this->Size)
    return {this->Nodes[1].Maximum, this->Nodes[1].Index};
  // Maximum over the subtrees left of the path, without what is added above
  // the current position.
  std::pair<double, std::size_t> Best{-std::numeric_limits<double>::infinity(),
                                      0};
  std::size_t Position = this->Size + Count;
  while (Position > 1) {
    if (Position % 2 == 1) {
      const Node &Left = this->Nodes[Position - 1];
      if (Left.Maximum >= Best.first)
        Best = {Left.Maximum, Left.Index};
    }
    Position /= 2;
    Best.first += this->Nodes[Position].Added;
  }
  return Best;
}

} // namespace rr::history
