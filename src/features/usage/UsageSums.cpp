#include "usage/UsageSums.h"

#include <algorithm>

namespace rr {

void UsageSums::apply(const UsageCountsMessage &Message) {
  const auto Key = std::make_pair(Message.Name, Message.Incarnation);
  if (!this->Sources.contains(Key) && this->Sources.size() >= MaxSources)
    return;
  Source &Item = this->Sources[Key];
  if (Message.Sequence <= Item.Sequence)
    return;
  Item.Sequence = Message.Sequence;
  Item.First = Message.FirstWindow;
  for (const auto &[Window, Counts] : Message.Windows)
    Item.Windows[Window] = Counts;
}

UsageCounts UsageSums::total(UsageWindow Window) const {
  UsageCounts Result;
  for (const auto &Item : this->Sources) {
    const auto Found = Item.second.Windows.find(Window);
    if (Found == Item.second.Windows.end())
      continue;
    for (const auto &[Workspace, Count] : Found->second)
      Result[Workspace] += Count;
  }
  return Result;
}

bool UsageSums::isCovered(UsageWindow Window) const {
  return std::any_of(
      this->Sources.begin(), this->Sources.end(),
      [Window](const auto &Item) { return Item.second.First < Window; });
}

std::vector<std::string>
UsageSums::silent(const std::vector<std::string> &Names) const {
  std::set<std::string> Heard;
  for (const auto &Item : this->Sources)
    Heard.insert(Item.first.first);
  std::vector<std::string> Result;
  std::copy_if(Names.begin(), Names.end(), std::back_inserter(Result),
               [&](const std::string &Name) { return !Heard.contains(Name); });
  return Result;
}

void UsageSums::removeThrough(UsageWindow Window) {
  for (auto &Item : this->Sources) {
    auto &Windows = Item.second.Windows;
    Windows.erase(Windows.begin(), Windows.upper_bound(Window));
  }
}

} // namespace rr
