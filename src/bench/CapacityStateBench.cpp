#include "base/Digest.h"
#include "bench/CapacityBench.h"
#include "bench/CapacityFleet.h"
#include "bench/CapacityMeter.h"
#include "bench/CapacitySeries.h"
#include "configuration/ConfigStore.h"
#include "keys/KeyFetch.h"
#include "keys/KeySet.h"
#include "lookup/ClientBlocks.h"
#include "lookup/EntryChoice.h"
#include "membership/FreshnessTracker.h"
#include "model/FleetConfigJson.h"

#include <cstdlib>

namespace rr {

namespace {

constexpr std::size_t BlockCounts[] = {26000, 130000, 260000};
constexpr std::size_t ServerCounts[] = {48, 1300, 5200};
constexpr std::size_t MemberCounts[] = {12, 325, 650, 1300};
constexpr std::size_t KeyCounts[] = {1000, 10000, 100000};
constexpr std::size_t ChangedBlocks = 100;
// A fixed number, so that the mean size is the same at every run.
constexpr std::size_t SampledAnswers = 1000;

// A benchmark with wrong input measures nothing.
template <typename T> T require(Outcome<T> Value) {
  if (!Value)
    std::abort();
  return std::move(*Value);
}

ClientBlocks readBlocks(const FleetConfig &Config) {
  std::vector<std::string> Problems;
  return require(ClientBlocks::fromConfig(Config, Problems));
}

std::vector<EntryInstance> entriesOf(const CapacityFleet &Fleet) {
  std::vector<EntryInstance> Result;
  for (std::size_t I = 0; I < Fleet.Members; ++I) {
    const Member Item = Fleet.member(I);
    Result.push_back({Item.Name, Item.CallerAddress, Item.Zone});
  }
  return Result;
}

// As LookupService answers.
std::string answerOf(const ClientBlocks &Blocks,
                     const EntryDirectory &Directory,
                     const std::string &Client) {
  const IpAddress Address = require(parseAddress(Client));
  const EntryAnswer Chosen =
      chooseEntries(Directory, Blocks.sitesFor(Address), hashAddress(Address));
  nlohmann::json Instances = nlohmann::json::array();
  for (const EntryInstance *Item : Chosen.Instances)
    Instances.push_back({{"name", Item->Name},
                         {"address", Item->Address},
                         {"zone", Item->Zone}});
  return nlohmann::json{
      {"client", Client}, {"instances", Instances}, {"max_age_s", 10}}
      .dump();
}

std::vector<BlockChange> blockChanges(ClientBlocks &Blocks,
                                      std::uint16_t Site) {
  const std::uint16_t List[] = {Site, 1, 2, 3};
  const std::uint32_t Number = Blocks.siteLists().add(List);
  std::vector<BlockChange> Result;
  for (std::size_t I = 0; I < ChangedBlocks; ++I)
    Result.push_back(
        {require(parsePrefix("200." + std::to_string(I) + ".7.0/24")), Number});
  return Result;
}

CapacityCost costOfAdoption(const CapacityFleet &Fleet) {
  const std::string Text = formatFleetConfig(Fleet.config(1));
  const std::string Hash = sha256Hex(Text);
  CapacityCost Result = measureCost([&] {
    ConfigStore Store;
    if (!require(Store.adopt(1, Hash, Text)))
      std::abort();
    return Store;
  });
  Result.WireBytes = static_cast<std::int64_t>(Text.size());
  return Result;
}

CapacityCost costOfWriting(const CapacityFleet &Fleet) {
  const FleetConfig Config = Fleet.config(1);
  CapacityCost Result = measureCost([&] { return formatFleetConfig(Config); });
  Result.WireBytes =
      static_cast<std::int64_t>(formatFleetConfig(Config).size());
  return Result;
}

KeyRecord keyRecord(std::size_t Index, std::uint64_t Version) {
  return {hashOfKey("key-" + std::to_string(Index)),
          "workspace-" + std::to_string(Index % 8), false, Version};
}

KeySet keySet(const std::vector<KeyRecord> &Records) {
  KeySet Result;
  Result.merge(Records);
  Result.completeTo(Records.size());
  return Result;
}

CapacityCost costOfKeyFetch(const KeySet &Keys, const CapacityFleet &Fleet) {
  MemberTable Members(Fleet.member(0));
  FreshnessTracker Held(Members);
  const KeyFetch Message{Fleet.member(1), 0};
  std::vector<std::uint8_t> Bytes;
  CapacityCost Result = measureCost([&] {
    Bytes =
        nlohmann::json::to_cbor(encode(answer(Message, Keys, Held, Members)));
    return Bytes.size();
  });
  Result.WireBytes = static_cast<std::int64_t>(Bytes.size());
  return Result;
}

} // namespace

void measureLookupCapacity() {
  CapacitySeries Build("block table from the configuration", "blocks");
  CapacitySeries Change("100 changed blocks into the table", "blocks");
  CapacitySeries Answer("look-up answer, 1300 members", "blocks");
  for (const std::size_t Count : BlockCounts) {
    CapacityFleet Fleet = CapacityFleet::toCome();
    Fleet.Blocks = Count;
    const FleetConfig Config = Fleet.config(1);
    Build.add(Count, measureCost([&] { return readBlocks(Config); }));
    ClientBlocks Blocks = readBlocks(Config);
    const EntryDirectory Directory(Config, entriesOf(Fleet));
    const auto AnswerTo = [&](std::size_t Index) {
      const std::string &Prefix = Config.Blocks[Index * 7919 % Count].Prefix;
      return answerOf(Blocks, Directory, Prefix.substr(0, Prefix.find('/')));
    };
    CapacityCost Cost;
    for (std::size_t I = 0; I < SampledAnswers; ++I)
      Cost.WireBytes += static_cast<std::int64_t>(AnswerTo(I).size());
    Cost.WireBytes /= static_cast<std::int64_t>(SampledAnswers);
    std::size_t Next = 0;
    Cost.Cpu = measureCpu([&] { AnswerTo(++Next); });
    Answer.add(Count, Cost);
    std::uint16_t Site = 0;
    Change.add(Count, measureCost([&] {
                 Blocks.apply(blockChanges(Blocks, ++Site % Fleet.Sites));
                 return 0;
               }));
  }
  Build.print();
  Change.print();
  Answer.print();
  CapacitySeries Directory("entry directory, 10 times a second", "members");
  for (const std::size_t Count : MemberCounts) {
    CapacityFleet Fleet = CapacityFleet::toCome();
    Fleet.Members = Count;
    Fleet.Blocks = 0;
    const FleetConfig Config = Fleet.config(1);
    const auto Entries = entriesOf(Fleet);
    Directory.add(Count, measureCost([&] {
                    const std::vector<EntryInstance> Copy(Entries.begin(),
                                                          Entries.end());
                    return EntryDirectory(Config, Copy);
                  }));
  }
  Directory.print();
}

void measureConfigCapacity() {
  CapacitySeries Blocks("configuration: hash, parse, adopt", "blocks");
  CapacitySeries Hash("configuration: hash alone", "blocks");
  CapacitySeries Write("configuration: write as JSON", "blocks");
  for (const std::size_t Count : BlockCounts) {
    CapacityFleet Fleet = CapacityFleet::toCome();
    Fleet.Servers = 0;
    Fleet.Blocks = Count;
    Blocks.add(Count, costOfAdoption(Fleet));
    const std::string Text = formatFleetConfig(Fleet.config(1));
    Hash.add(Count, measureCost([&] { return sha256Hex(Text); }));
    Write.add(Count, costOfWriting(Fleet));
  }
  Blocks.print();
  Hash.print();
  Write.print();
  CapacitySeries Servers("configuration: hash, parse, adopt", "servers");
  for (const std::size_t Count : ServerCounts) {
    CapacityFleet Fleet = CapacityFleet::toCome();
    Fleet.Blocks = 0;
    Fleet.Servers = Count;
    Servers.add(Count, costOfAdoption(Fleet));
  }
  Servers.print();
}

void measureKeyCapacity() {
  CapacitySeries Load("key set: merge of all", "keys");
  CapacitySeries Change("key set: merge of one change", "keys");
  CapacitySeries Fetch("key set: first answer to a fetch", "keys");
  for (const std::size_t Count : KeyCounts) {
    std::vector<KeyRecord> Records;
    for (std::size_t I = 0; I < Count; ++I)
      Records.push_back(keyRecord(I, I + 1));
    Load.add(Count, measureCost([&] { return keySet(Records); }));
    KeySet Keys = keySet(Records);
    Fetch.add(Count, costOfKeyFetch(Keys, CapacityFleet()));
    std::uint64_t Version = Count;
    CapacityCost Cost;
    Cost.Cpu = measureCpu([&] {
      ++Version;
      Keys.merge({keyRecord(Version % Count, Version)});
      Keys.completeTo(Version);
    });
    Change.add(Count, Cost);
  }
  Load.print();
  Change.print();
  Fetch.print();
}

} // namespace rr
