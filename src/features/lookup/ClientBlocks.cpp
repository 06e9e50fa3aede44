#include "lookup/ClientBlocks.h"

#include "model/FleetConfig.h"

#include <limits>
#include <unordered_map>

namespace rr {

Outcome<ClientBlocks>
ClientBlocks::fromConfig(const FleetConfig &Config,
                         std::vector<std::string> &Problems) {
  const std::size_t ProblemsBefore = Problems.size();
  if (Config.Sites.size() > std::numeric_limits<std::uint16_t>::max())
    Problems.push_back("sites: expected at most 65535");
  std::unordered_map<std::string, std::uint16_t> Numbers;
  for (const Site &Item : Config.Sites)
    Numbers.emplace(Item.Name, static_cast<std::uint16_t>(Numbers.size()));
  ClientBlocks Result;
  std::vector<BlockChange> Changes;
  Changes.reserve(Config.Blocks.size());
  for (const ClientBlock &Block : Config.Blocks) {
    std::vector<std::uint16_t> Sites;
    for (const std::string &Name : Block.Sites) {
      const auto Found = Numbers.find(Name);
      if (Found == Numbers.end())
        Problems.push_back("blocks." + Block.Prefix + ": " + Name +
                           " is not defined");
      else
        Sites.push_back(Found->second);
    }
    const auto Prefix = parsePrefix(Block.Prefix);
    if (Prefix)
      Changes.push_back({*Prefix, Result.Lists.add(Sites)});
    else
      Problems.push_back("blocks." + Block.Prefix +
                         ": expected ADDRESS/LENGTH without bits behind it");
  }
  if (Problems.size() > ProblemsBefore)
    return failure(Errc::Malformed);
  Result.apply(Changes);
  return Result;
}

std::span<const std::uint16_t>
ClientBlocks::sitesFor(const IpAddress &Address) const {
  const auto List = this->Table.find(Address);
  if (!List)
    return {};
  return this->Lists.get(*List);
}

void ClientBlocks::apply(const std::vector<BlockChange> &Changes) {
  this->Blocks.apply(Changes);
  this->Table = buildBlockTable(this->Blocks);
}

std::size_t ClientBlocks::memoryBytes() const {
  return this->Lists.memoryBytes() + this->Blocks.memoryBytes() +
         this->Table.memoryBytes();
}

} // namespace rr
