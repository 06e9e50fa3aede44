#include "lookup/BlockSet.h"
#include "lookup/BlockTable.h"
#include "lookup/BlockTableBuilder.h"
#include "lookup/ClientBlocks.h"
#include "model/FleetConfig.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using namespace rr;

namespace {

// RapidCheck reads this once, at its first use.
[[maybe_unused]] const int FixedSeed =
    setenv("RC_PARAMS", "seed=1 max_success=300", 0);

IpPrefix prefix(const char *Text) { return parsePrefix(Text).value(); }
IpAddress address(const char *Text) { return parseAddress(Text).value(); }

// Prefixes that nest often: few distinct bits, all lengths.
IpPrefix randomPrefix() {
  const bool IsV4 = *rc::gen::arbitrary<bool>();
  const unsigned Bits = IsV4 ? 32 : 128;
  const unsigned Length = *rc::gen::inRange(0u, Bits + 1);
  IpAddress Address{0, 0, IsV4};
  for (unsigned Bit = 0; Bit < Length; ++Bit)
    if (*rc::gen::inRange(0, 8) == 0) {
      const unsigned FromLow = Bits - 1 - Bit;
      (FromLow < 64 ? Address.Low : Address.High) |= std::uint64_t{1}
                                                     << FromLow % 64;
    }
  return {Address, static_cast<std::uint8_t>(Length)};
}

std::optional<std::uint32_t> scan(const std::vector<BlockChange> &Changes,
                                  const IpAddress &Address) {
  std::optional<std::uint32_t> Best;
  int BestLength = -1;
  for (auto Change = Changes.rbegin(); Change != Changes.rend(); ++Change) {
    const bool Replaced =
        std::any_of(Changes.rbegin(), Change, [&](const BlockChange &Later) {
          return Later.Prefix == Change->Prefix;
        });
    if (!Replaced && Change->SiteList && Change->Prefix.Length > BestLength &&
        contains(Change->Prefix, Address)) {
      Best = Change->SiteList;
      BestLength = Change->Prefix.Length;
    }
  }
  return Best;
}

} // namespace

// Guards against text that another program would read as another address.
TEST_CASE("Addresses and prefixes are read strictly") {
  for (const char *Text : {"", "1.2.3", "1.2.3.4.5", "256.1.1.1", "1.2.3.4:80",
                           "[::1]", "fe80::1%eth0", "::g", "1.2.3.4 "})
    CHECK_FALSE(parseAddress(Text));
  for (const char *Text :
       {"1.2.3.0", "1.2.3.0/33", "1.2.3.0/-1", "1.2.3.4/24", "2001:db8::1/32",
        "::/129", "1.2.3.0/24 ", "/8", "::ffff:0:0/95"})
    CHECK_FALSE(parsePrefix(Text));
  CHECK(address("::ffff:1.2.3.4") == address("1.2.3.4"));
  CHECK(prefix("::ffff:1.2.3.0/120") == prefix("1.2.3.0/24"));
  CHECK(prefix("0.0.0.0/0").Length == 0);
}

// Guards against an IPv6 default block that takes IPv4 clients, and against
// clients outside all blocks that get the answer of a neighbour.
TEST_CASE("Families are apart and uncovered addresses have no block") {
  BlockSet Blocks;
  Blocks.apply({{prefix("::/0"), 1}, {prefix("10.0.0.0/8"), 2}});
  const BlockTable Table = buildBlockTable(Blocks);
  CHECK(Table.find(address("2001:db8::1")) == 1u);
  CHECK(Table.find(address("10.255.255.255")) == 2u);
  CHECK_FALSE(Table.find(address("11.0.0.0")));
  CHECK_FALSE(Table.find(address("9.255.255.255")));
  CHECK_FALSE(BlockTable().find(address("::1")));
}

// Guards against a range table that disagrees with a plain scan over nested,
// replaced and removed blocks, also when it is built in slices.
TEST_CASE("The table agrees with a scan over all blocks") {
  CHECK(rc::check([] {
    std::vector<BlockChange> All;
    BlockSet Blocks;
    const int Batches = *rc::gen::inRange(1, 4);
    for (int Batch = 0; Batch < Batches; ++Batch) {
      std::vector<BlockChange> Changes;
      const int Count = *rc::gen::inRange(0, 30);
      for (int I = 0; I < Count; ++I) {
        const bool Again = !All.empty() && *rc::gen::inRange(0, 3) == 0;
        Changes.push_back(
            {Again ? (*rc::gen::elementOf(All)).Prefix : randomPrefix(),
             static_cast<std::uint32_t>(All.size() + Changes.size())});
        if (*rc::gen::inRange(0, 4) == 0)
          Changes.back().SiteList.reset();
      }
      All.insert(All.end(), Changes.begin(), Changes.end());
      Blocks.apply(Changes);
    }
    BlockTableBuilder Builder(Blocks);
    while (!Builder.step(3)) {
    }
    const BlockTable Table = Builder.take();
    for (const BlockChange &Change : All) {
      IpAddress Probe = Change.Prefix.Address;
      // The first address, its neighbours, and one inside the block.
      for (const std::uint64_t Step : {0ull, 1ull, 0xffull, ~0ull}) {
        Probe.Low = Change.Prefix.Address.Low + Step;
        if (Probe.IsV4)
          Probe.Low &= 0xffffffff;
        RC_ASSERT(Table.find(Probe) == scan(All, Probe));
      }
    }
  }));
}

// Guards against a configuration whose mistakes are dropped silently.
TEST_CASE("Client blocks of a configuration are checked and looked up") {
  FleetConfig Config;
  Config.Sites = {{"near", "a1"}, {"far", "b1"}};
  Config.Blocks = {{"10.0.0.0/8", {"far", "near"}}};
  std::vector<std::string> Problems;
  const auto Blocks = ClientBlocks::fromConfig(Config, Problems);
  REQUIRE(Blocks);
  const auto Sites = Blocks->sitesFor(address("10.1.1.1"));
  CHECK(std::vector<int>(Sites.begin(), Sites.end()) == std::vector{1, 0});
  CHECK(Blocks->sitesFor(address("11.1.1.1")).empty());
  Config.Blocks.push_back({"10.0.0.1/8", {"none"}});
  CHECK_FALSE(ClientBlocks::fromConfig(Config, Problems));
  CHECK(Problems.size() == 2);
}
