#include "base/Random.h"
#include "bench/Stopwatch.h"
#include "lookup/BlockSet.h"
#include "lookup/BlockTableBuilder.h"
#include "lookup/EntryChoice.h"
#include "lookup/SiteLists.h"
#include "model/FleetConfig.h"

#include <algorithm>
#include <cstdio>
#include <set>
#include <tuple>

namespace rr {

namespace {

constexpr std::uint64_t Seed = 1;
constexpr std::size_t Lookups = 4000000;
constexpr std::size_t Sites = 260;
constexpr std::size_t SitesPerList = 4;
constexpr std::size_t DistinctLists = 8000;
constexpr double Mebibyte = 1024.0 * 1024.0;

// Lengths of real client blocks: mostly /24 and /20 for IPv4, /32 to /48 for
// IPv6.
IpPrefix randomPrefix(bool IsV4, RandomEngine &Random) {
  const unsigned Length = IsV4 ? 12 + Random() % 13 : 28 + Random() % 37;
  IpAddress Address{0, 0, IsV4};
  if (IsV4)
    Address.Low = (Random() & 0xffffffff) >> (32 - Length) << (32 - Length);
  else
    Address.High = (0x2000000000000000 | Random() >> 3) >> (64 - Length)
                                                               << (64 - Length);
  return {Address, static_cast<std::uint8_t>(Length)};
}

std::vector<BlockChange> randomBlocks(std::size_t Count, double ShareOfV4,
                                      SiteLists &Lists, RandomEngine &Random) {
  std::vector<BlockChange> Result;
  std::set<std::tuple<std::uint64_t, std::uint64_t, int>> Seen;
  while (Result.size() < Count) {
    RandomEngine ListRandom(Random() % DistinctLists);
    std::vector<std::uint16_t> List;
    for (std::size_t I = 0; I < SitesPerList; ++I)
      List.push_back(static_cast<std::uint16_t>(ListRandom() % Sites));
    const bool IsV4 = static_cast<double>(Random() % 1000) < 1000 * ShareOfV4;
    const IpPrefix Prefix = randomPrefix(IsV4, Random);
    if (Seen.emplace(Prefix.Address.High, Prefix.Address.Low, Prefix.Length)
            .second)
      Result.push_back({Prefix, Lists.add(List)});
  }
  return Result;
}

// Half of the clients are in a block, half anywhere in the address space.
std::vector<IpAddress> randomClients(const std::vector<BlockChange> &Blocks,
                                     double ShareOfV4, RandomEngine &Random) {
  std::vector<IpAddress> Result;
  while (Result.size() < Lookups) {
    IpAddress Address = Blocks[Random() % Blocks.size()].Prefix.Address;
    if (Random() % 2 == 0)
      Address =
          randomPrefix(static_cast<double>(Random() % 1000) < 1000 * ShareOfV4,
                       Random)
              .Address;
    Address.Low |= Random() & 0xff;
    Result.push_back(Address);
  }
  return Result;
}

void measureTable(std::size_t Count, double ShareOfV4) {
  RandomEngine Random(Seed);
  SiteLists Lists;
  BlockSet Blocks;
  const auto Changes = randomBlocks(Count, ShareOfV4, Lists, Random);
  Stopwatch Load;
  Blocks.apply(Changes);
  const double LoadMs = Load.elapsed().count() * 1e3;
  Stopwatch Build;
  const BlockTable Table = buildBlockTable(Blocks);
  const double BuildMs = Build.elapsed().count() * 1e3;
  const auto Delta = randomBlocks(100, ShareOfV4, Lists, Random);
  Stopwatch Merge;
  Blocks.apply(Delta);
  const double MergeMs = Merge.elapsed().count() * 1e3;
  BlockTableBuilder Slices(Blocks);
  double LongestMs = 0;
  for (bool Done = false; !Done;) {
    Stopwatch Slice;
    Done = Slices.step(1000);
    LongestMs = std::max(LongestMs, Slice.elapsed().count() * 1e3);
  }
  const auto Clients = randomClients(Changes, ShareOfV4, Random);
  std::uint64_t Sum = 0;
  double BestSeconds = 1e9;
  for (int Round = 0; Round < 3; ++Round) {
    Stopwatch Find;
    for (const IpAddress &Client : Clients)
      Sum += Table.find(Client).value_or(0);
    BestSeconds = std::min(BestSeconds, Find.elapsed().count());
  }
  const double TableMib = static_cast<double>(Table.memoryBytes()) / Mebibyte;
  const double OtherMib =
      static_cast<double>(Lists.memoryBytes() + Blocks.memoryBytes()) /
      Mebibyte;
  std::printf("%7zu %4.0f%% %10.1f %9.2f %9.2f %9.2f %9.2f %9.2f %9.2f  %llx\n",
              Blocks.size(), 100 * ShareOfV4,
              static_cast<double>(Lookups) / BestSeconds / 1e6, TableMib,
              OtherMib, LoadMs, BuildMs, MergeMs, LongestMs,
              static_cast<unsigned long long>(Sum & 0xffff));
}

void measureChoice() {
  constexpr std::size_t Zones = 27;
  constexpr std::size_t Regions = 8;
  constexpr std::size_t Instances = 1300;
  constexpr int Choices = 200000;
  FleetConfig Config;
  std::vector<EntryInstance> Members;
  for (std::size_t I = 0; I < Zones; ++I)
    Config.Zones.push_back(
        {"z" + std::to_string(I), "r" + std::to_string(I % Regions)});
  for (std::size_t I = 0; I < Sites; ++I)
    Config.Sites.push_back(
        {"s" + std::to_string(I), Config.Zones[I % Zones].Name});
  for (std::size_t I = 0; I < Instances; ++I)
    Members.push_back(
        {"i" + std::to_string(I), "127.0.0.1:1", Config.Zones[I % Zones].Name});
  Stopwatch Build;
  const EntryDirectory Directory(Config, Members);
  const double BuildMs = Build.elapsed().count() * 1e3;
  RandomEngine Random(Seed);
  std::size_t Sum = 0;
  Stopwatch Watch;
  for (int I = 0; I < Choices; ++I) {
    const std::uint16_t List[] = {static_cast<std::uint16_t>(Random() % Sites),
                                  static_cast<std::uint16_t>(Random() % Sites)};
    Sum += chooseEntries(Directory, List, Random()).Instances.size();
  }
  std::printf("\nentry choice, %zu instances, %zu zones: %.2f us an answer "
              "(%.1f entries), directory built in %.2f ms\n",
              Instances, Zones, Watch.elapsed().count() * 1e6 / Choices,
              static_cast<double>(Sum) / Choices, BuildMs);
}

} // namespace

int runLookupBench(const std::vector<std::string> &) {
  std::puts(" blocks  IPv4  M look-up/s table MiB other MiB   load ms  build "
            "ms  merge ms  slice ms  check");
  for (const double ShareOfV4 : {1.0, 0.8, 0.0})
    for (const std::size_t Count : {1000, 26000, 130000, 260000})
      measureTable(Count, ShareOfV4);
  std::puts("other: block set and site lists; merge: 100 changes; slice: "
            "longest step of 1000 blocks in a sliced build");
  measureChoice();
  return 0;
}

} // namespace rr
