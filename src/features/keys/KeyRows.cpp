#include "keys/KeyRows.h"

#include "base/Random.h"
#include "configuration/HeadView.h"
#include "keys/KeySet.h"
#include "platform/PlatformCalls.h"

#include <vector>

namespace rr {

namespace {

const std::string KeyPrefix = "keys/";

// Operators and configuration changes rewrite the head too.
constexpr int MostAttempts = 8;

// Reading all keys takes a call per 500 rows, reading changes one per change.
constexpr std::uint64_t MostChangesRead = 200;

std::string changeKey(std::uint64_t Version) {
  return KeyPrefix + "change/" + std::to_string(Version);
}

std::string recordKey(const KeyHash &Hash) { return KeyPrefix + toHex(Hash); }

// The change row is written by this transaction only, so it is the probe.
Transaction makeChange(const HeadView &View, const KeyRecord &Record,
                       std::uint64_t RecordRowVersion) {
  ControlHead Next = View.Head;
  Next.Versions.Keys = Record.Version;
  nlohmann::json Change = encode(Record);
  Change["token"] = randomToken();
  Transaction Result;
  Result.Writes.push_back(makeHeadWrite(View, Next));
  Result.Writes.push_back({RowWrite::Kind::Put, recordKey(Record.Hash),
                           encode(Record).dump(), RecordRowVersion});
  Result.Writes.push_back({RowWrite::Kind::Put, changeKey(Record.Version),
                           Change.dump(), RowWrite::Absent});
  return Result;
}

// Commits one change of a key; Errc::Conflict when the head or the key
// changed in between.
asio::awaitable<Outcome<std::uint64_t>> commitChange(const Platform &Store,
                                                     HeadView View,
                                                     KeyRecord Record,
                                                     std::uint64_t RowVersion) {
  Record.Version = View.Head.Versions.Keys + 1;
  const Transaction Writes = makeChange(View, Record, RowVersion);
  const auto Result =
      co_await commitVerified(Store, Writes, changeKey(Record.Version));
  if (!Result)
    co_return tl::unexpected<std::error_code>(Result.error());
  co_return Record.Version;
}

asio::awaitable<Outcome<std::uint64_t>> withdrawOnce(const Platform &Store,
                                                     KeyHash Hash) {
  const auto View = co_await readHead(Store);
  if (!View)
    co_return tl::unexpected<std::error_code>(View.error());
  const auto Found = co_await readRow(Store, recordKey(Hash));
  if (!Found)
    co_return tl::unexpected<std::error_code>(Found.error());
  KeyRecord Record;
  Record.Hash = Hash;
  std::uint64_t RowVersion = RowWrite::Absent;
  if (*Found) {
    const auto Known = parseKeyRecord((*Found)->Value);
    if (!Known)
      co_return tl::unexpected<std::error_code>(Known.error());
    if (Known->Withdrawn)
      co_return Known->Version;
    Record = *Known;
    RowVersion = (*Found)->Version;
  }
  Record.Withdrawn = true;
  co_return co_await commitChange(Store, *View, Record, RowVersion);
}

asio::awaitable<Outcome<void>> loadAll(const Platform &Store, KeySet &Keys) {
  // Changes made while the pages are read have higher versions than this
  // head; they may or may not be among the rows, which merging allows.
  const auto View = co_await readHead(Store);
  if (!View)
    co_return tl::unexpected<std::error_code>(View.error());
  const auto Rows = co_await listRows(Store, KeyPrefix);
  if (!Rows)
    co_return tl::unexpected<std::error_code>(Rows.error());
  std::vector<KeyRecord> Records;
  for (const Row &Item : *Rows) {
    if (Item.Key.starts_with(KeyPrefix + "change/"))
      continue;
    const auto Parsed = parseKeyRecord(Item.Value);
    if (!Parsed)
      co_return tl::unexpected<std::error_code>(Parsed.error());
    Records.push_back(*Parsed);
  }
  Keys.merge(Records);
  Keys.completeTo(View->Head.Versions.Keys);
  co_return Outcome<void>();
}

} // namespace

asio::awaitable<Outcome<std::uint64_t>>
issueKey(const Platform &Store, KeyHash Hash, std::string Workspace) {
  for (int Attempt = 0; Attempt < MostAttempts; ++Attempt) {
    const auto View = co_await readHead(Store);
    if (!View)
      co_return tl::unexpected<std::error_code>(View.error());
    const auto Found = co_await readRow(Store, recordKey(Hash));
    if (!Found)
      co_return tl::unexpected<std::error_code>(Found.error());
    if (*Found)
      co_return failure(Errc::Conflict);
    KeyRecord Record;
    Record.Hash = Hash;
    Record.Workspace = Workspace;
    const auto Result =
        co_await commitChange(Store, *View, Record, RowWrite::Absent);
    if (Result || Result.error() != Errc::Conflict)
      co_return Result;
  }
  co_return failure(Errc::Conflict);
}

asio::awaitable<Outcome<std::uint64_t>> withdrawKey(const Platform &Store,
                                                    KeyHash Hash) {
  for (int Attempt = 0; Attempt < MostAttempts; ++Attempt) {
    const auto Result = co_await withdrawOnce(Store, Hash);
    if (Result || Result.error() != Errc::Conflict)
      co_return Result;
  }
  co_return failure(Errc::Conflict);
}

asio::awaitable<Outcome<void>> followKeys(const Platform &Store, KeySet &Keys,
                                          std::uint64_t Target) {
  if (Keys.version() >= Target)
    co_return Outcome<void>();
  if (Target - Keys.version() > MostChangesRead) {
    const auto Loaded = co_await loadAll(Store, Keys);
    if (!Loaded)
      co_return Loaded;
  }
  while (Keys.version() < Target) {
    const std::uint64_t Next = Keys.version() + 1;
    const auto Found = co_await readRow(Store, changeKey(Next));
    if (!Found)
      co_return tl::unexpected<std::error_code>(Found.error());
    if (!*Found)
      co_return failure(Errc::NotFound);
    const auto Parsed = parseKeyRecord((*Found)->Value);
    if (!Parsed)
      co_return tl::unexpected<std::error_code>(Parsed.error());
    Keys.merge({*Parsed});
    Keys.completeTo(Next);
  }
  co_return Outcome<void>();
}

asio::awaitable<Outcome<std::size_t>> writePending(const Platform &Store,
                                                   KeySet &Keys) {
  const std::vector<KeyHash> Hashes(Keys.pending().begin(),
                                    Keys.pending().end());
  std::size_t Written = 0;
  for (const KeyHash &Hash : Hashes) {
    const auto Version = co_await withdrawKey(Store, Hash);
    if (!Version)
      co_return tl::unexpected<std::error_code>(Version.error());
    const auto Followed = co_await followKeys(Store, Keys, *Version);
    if (!Followed)
      co_return tl::unexpected<std::error_code>(Followed.error());
    ++Written;
  }
  co_return Written;
}

} // namespace rr
