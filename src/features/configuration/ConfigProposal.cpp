#include "configuration/ConfigProposal.h"

#include "base/Digest.h"
#include "base/Random.h"
#include "configuration/ConfigChanges.h"
#include "configuration/HeadView.h"
#include "membership/MessageReader.h"
#include "model/FleetConfigJson.h"
#include "platform/PlatformCalls.h"

#include <utility>

namespace rr {

namespace {

using nlohmann::json;

// Key changes and share epochs rewrite the same row, and each one between read
// and commit costs an attempt. After the last one the operator gets a conflict.
constexpr int MaxAttempts = 8;

std::string versionKey(std::uint64_t Version) {
  return "config/" + std::to_string(Version);
}

// Row that only the transaction of this version writes. It is used to find the
// object of an old version and, when the response to a commit is lost, to check
// whether the commit took effect: control/head may have been rewritten by then.
RowWrite makeVersionRow(std::uint64_t Version, const ControlHead &Head) {
  const json Value = {{"object", Head.ConfigObject},
                      {"hash", Head.ConfigHash},
                      {"token", randomToken()}};
  return {RowWrite::Kind::Put, versionKey(Version), Value.dump(),
          RowWrite::Absent};
}

asio::awaitable<std::string> readConfigText(const Platform &Store,
                                            std::uint64_t Version) {
  const auto Found = co_await readRow(Store, versionKey(Version));
  if (!Found || !*Found)
    co_return "{}";
  const json Document = json::parse((*Found)->Value, nullptr, false);
  MessageReader Reader(Document);
  const std::string Object = Reader.name("object");
  if (!Reader.isGood())
    co_return "{}";
  const auto Text = co_await Store.GetObject(Object);
  if (!Text)
    co_return "{}";
  co_return *Text;
}

asio::awaitable<ProposalResult>
conflictResult(const Platform &Store, std::uint64_t Base, ControlHead Head) {
  ProposalResult Result;
  Result.Version = failure(Errc::Conflict);
  const std::string Before = co_await readConfigText(Store, Base);
  const std::string After =
      co_await readConfigText(Store, Head.Versions.Config);
  Result.Details = describeChanges(Before, After);
  co_return Result;
}

} // namespace

asio::awaitable<ProposalResult> proposeChange(const Platform &Store,
                                              ConfigProposal Proposal) {
  ProposalResult Result;
  const std::uint64_t Version = Proposal.BaseVersion + 1;
  Proposal.Next.Version = Version;
  const std::string Text = formatFleetConfig(Proposal.Next);
  if (!parseFleetConfig(Text, Result.Details)) {
    Result.Version = failure(Errc::Malformed);
    co_return Result;
  }
  const std::string Hash = sha256Hex(Text);
  // The hash in the name keeps concurrent proposals from overwriting each
  // other.
  const std::string Object = versionKey(Version) + "-" + Hash.substr(0, 16);
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const auto View = co_await readHead(Store);
    if (!View) {
      const bool Malformed = View.error() == Errc::Malformed;
      Result.Version = failure(Malformed ? Errc::Malformed : Errc::Unavailable);
      co_return Result;
    }
    if (View->Head.Versions.Config != Proposal.BaseVersion)
      co_return co_await conflictResult(Store, Proposal.BaseVersion,
                                        View->Head);
    if (Attempt == 0) {
      const auto Stored = co_await Store.PutObject(Object, Text);
      if (!Stored) {
        // An object that no committed row refers to has no effect.
        Result.Version = failure(Errc::Unavailable);
        co_return Result;
      }
    }
    ControlHead Next = View->Head;
    Next.Versions.Config = Version;
    Next.ConfigObject = Object;
    Next.ConfigHash = Hash;
    Transaction Writes = Proposal.AdditionalWrites;
    Writes.Writes.push_back(makeHeadWrite(*View, Next));
    Writes.Writes.push_back(makeVersionRow(Version, Next));
    const auto Committed =
        co_await commitVerified(Store, Writes, versionKey(Version));
    if (Committed) {
      Result.Version = Version;
      co_return Result;
    }
    Result.Version = tl::unexpected<std::error_code>(Committed.error());
    if (Committed.error() != Errc::Conflict)
      co_return Result;
  }
  co_return Result;
}

} // namespace rr
