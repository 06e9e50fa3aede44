#include "instance/ControlCommit.h"

#include "base/Digest.h"
#include "configuration/HeadView.h"
#include "keys/KeyRecord.h"
#include "membership/MembershipJson.h"
#include "model/FleetConfigJson.h"
#include "platform/PlatformCalls.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace rr {

namespace {

using nlohmann::json;

// Share epochs and key changes rewrite the same row; so many may come between
// read and commit.
constexpr int MostAttempts = 8;

tl::unexpected<std::error_code> passOn(const std::error_code &Error) {
  return tl::unexpected<std::error_code>(Error);
}

std::string versionKey(std::uint64_t Version) {
  return "config/" + std::to_string(Version);
}

RowWrite put(std::string Key, std::string Value, std::uint64_t Expected) {
  RowWrite Result;
  Result.Key = std::move(Key);
  Result.Value = std::move(Value);
  Result.ExpectedVersion = Expected;
  return Result;
}

// Stores the text and names it in the head; the hash in the name keeps racing
// changes from overwriting each other.
asio::awaitable<Outcome<void>> addConfig(const Platform &Store,
                                         FleetConfig Next, ControlHead &Head,
                                         Transaction &Writes) {
  const std::string Text = formatFleetConfig(Next);
  std::vector<std::string> Problems;
  if (!parseFleetConfig(Text, Problems))
    co_return failure(Errc::Malformed);
  Head.Versions.Config = Next.Version;
  Head.ConfigHash = sha256Hex(Text);
  Head.ConfigObject =
      versionKey(Next.Version) + "-" + Head.ConfigHash.substr(0, 16);
  const auto Stored = co_await Store.PutObject(Head.ConfigObject, Text);
  if (!Stored)
    co_return failure(Errc::Unavailable);
  const json Row = {{"object", Head.ConfigObject}, {"hash", Head.ConfigHash}};
  Writes.Writes.push_back(
      put(versionKey(Next.Version), Row.dump(), RowWrite::Absent));
  co_return Outcome<void>();
}

asio::awaitable<Outcome<void>> addKey(const Platform &Store, KeyChange Change,
                                      ControlHead &Head, Transaction &Writes) {
  const auto Hash = parseKeyHash(Change.Hash);
  if (!Hash)
    co_return failure(Errc::Malformed);
  const std::string RowKey = "keys/" + toHex(*Hash);
  const auto Found = co_await readRow(Store, RowKey);
  if (!Found)
    co_return passOn(Found.error());
  const bool Withdrawal = Change.Workspace.empty();
  if (*Found && !Withdrawal)
    co_return failure(Errc::Conflict);
  KeyRecord Record;
  if (*Found) {
    const auto Known = parseKeyRecord((*Found)->Value);
    if (!Known)
      co_return passOn(Known.error());
    Record = *Known;
  }
  Record.Hash = *Hash;
  if (!Withdrawal)
    Record.Workspace = Change.Workspace;
  Record.Withdrawn = Withdrawal;
  Record.Version = ++Head.Versions.Keys;
  Writes.Writes.push_back(put(RowKey, encode(Record).dump(),
                              *Found ? (*Found)->Version : RowWrite::Absent));
  Writes.Writes.push_back(put("keys/change/" + std::to_string(Record.Version),
                              encode(Record).dump(), RowWrite::Absent));
  co_return Outcome<void>();
}

asio::awaitable<Outcome<void>>
addLost(const Platform &Store, std::string Instance, Transaction &Writes) {
  const std::string RowKey = "members/" + Instance;
  const auto Found = co_await readRow(Store, RowKey);
  if (!Found)
    co_return passOn(Found.error());
  if (!*Found)
    co_return failure(Errc::NotFound);
  auto Known = decodeMember(json::parse((*Found)->Value, nullptr, false));
  if (!Known)
    co_return passOn(Known.error());
  Known->State = MemberState::Lost;
  Writes.Writes.push_back(
      put(RowKey, encode(*Known).dump(), (*Found)->Version));
  co_return Outcome<void>();
}

asio::awaitable<Outcome<ControlMark>> commitOnce(const Platform &Store,
                                                 ControlChange Change) {
  const auto View = co_await readHead(Store);
  if (!View)
    co_return passOn(View.error() == Errc::Malformed
                         ? View.error()
                         : make_error_code(Errc::Unavailable));
  if (View->Head.Versions.Config != Change.BaseVersion)
    co_return failure(Errc::Conflict);
  ControlHead Next = View->Head;
  ControlMark Mark;
  Transaction Writes;
  if (Change.Config) {
    Change.Config->Version = Change.BaseVersion + 1;
    const auto Added = co_await addConfig(Store, *Change.Config, Next, Writes);
    if (!Added)
      co_return passOn(Added.error());
    Mark.Config = Next.Versions.Config;
  }
  if (Change.Key) {
    const auto Added = co_await addKey(Store, *Change.Key, Next, Writes);
    if (!Added)
      co_return passOn(Added.error());
    Mark.Keys = Next.Versions.Keys;
  }
  if (!Change.LostInstance.empty()) {
    const auto Added = co_await addLost(Store, Change.LostInstance, Writes);
    if (!Added)
      co_return passOn(Added.error());
    Mark.Members = 1;
  }
  Writes.Writes.push_back(makeHeadWrite(*View, Next));
  if (Change.Extra)
    for (RowWrite &Item : Change.Extra(Mark).Writes)
      Writes.Writes.push_back(std::move(Item));
  const auto Committed =
      co_await commitVerified(Store, Writes, Change.ProbeKey);
  if (!Committed)
    co_return passOn(Committed.error());
  co_return Mark;
}

} // namespace

asio::awaitable<Outcome<ControlMark>> commitControl(const Platform &Store,
                                                    ControlChange Change) {
  Outcome<ControlMark> Result = failure(Errc::Conflict);
  for (int Attempt = 0; Attempt < MostAttempts; ++Attempt) {
    Result = co_await commitOnce(Store, Change);
    if (Result || Result.error() != Errc::Conflict)
      co_return Result;
    // Only a head that was rewritten for another reason makes a repeat useful.
    const auto View = co_await readHead(Store);
    if (!View || View->Head.Versions.Config != Change.BaseVersion)
      co_return Result;
  }
  co_return Result;
}

asio::awaitable<Outcome<FleetConfig>> configAt(const Platform &Store,
                                               std::uint64_t Version) {
  if (Version == 0)
    co_return FleetConfig();
  const auto Found = co_await readRow(Store, versionKey(Version));
  if (!Found)
    co_return passOn(Found.error());
  if (!*Found)
    co_return failure(Errc::NotFound);
  const json Row = json::parse((*Found)->Value, nullptr, false);
  if (!Row.is_object() || !Row.contains("object") || !Row["object"].is_string())
    co_return failure(Errc::Malformed);
  const auto Text = co_await Store.GetObject(Row["object"].get<std::string>());
  if (!Text)
    co_return passOn(Text.error());
  std::vector<std::string> Problems;
  co_return parseFleetConfig(*Text, Problems);
}

} // namespace rr
