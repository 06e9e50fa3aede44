#include "configuration/HeadView.h"

namespace rr {

namespace {

const std::string HeadKey = "control/head";

} // namespace

asio::awaitable<Outcome<HeadView>> readHead(const Platform &Store) {
  HeadView Result;
  Result.Start = Clock::now();
  const auto Found = co_await Store.ReadRow(HeadKey);
  if (!Found)
    co_return tl::unexpected<std::error_code>(Found.error());
  if (!*Found)
    co_return Result;
  const auto Parsed = parseControlHead((*Found)->Value);
  if (!Parsed)
    co_return tl::unexpected<std::error_code>(Parsed.error());
  Result.Head = *Parsed;
  Result.RowVersion = (*Found)->Version;
  co_return Result;
}

RowWrite makeHeadWrite(const HeadView &Base, const ControlHead &Next) {
  return {RowWrite::Kind::Put, HeadKey, formatControlHead(Next),
          Base.RowVersion};
}

} // namespace rr
