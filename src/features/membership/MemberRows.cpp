#include "membership/MemberRows.h"

#include "membership/MembershipJson.h"
#include "platform/PlatformCalls.h"

namespace rr {

namespace {

const std::string Prefix = "members/";

Outcome<Member> parseRow(const Row &Item) {
  return decodeMember(nlohmann::json::parse(Item.Value, nullptr, false));
}

} // namespace

asio::awaitable<Outcome<std::vector<Member>>>
readMemberRows(const Platform &Store) {
  const auto Rows = co_await listRows(Store, Prefix);
  if (!Rows)
    co_return tl::unexpected<std::error_code>(Rows.error());
  std::vector<Member> Result;
  for (const Row &Item : *Rows)
    if (const auto Parsed = parseRow(Item))
      Result.push_back(*Parsed);
  co_return Result;
}

asio::awaitable<Outcome<void>> writeMemberRow(const Platform &Store,
                                              Member Report) {
  const std::string Key = Prefix + Report.Name;
  const auto Found = co_await readRow(Store, Key);
  if (!Found)
    co_return tl::unexpected<std::error_code>(Found.error());
  RowWrite Write{RowWrite::Kind::Put, Key, encode(Report).dump(),
                 RowWrite::Absent};
  if (*Found) {
    const auto Known = parseRow(**Found);
    if (Known && newerOf(*Known, Report) == *Known)
      co_return Outcome<void>();
    Write.ExpectedVersion = (*Found)->Version;
  }
  Transaction Writes;
  Writes.Writes.push_back(std::move(Write));
  co_return co_await commitVerified(Store, std::move(Writes), Key);
}

} // namespace rr
