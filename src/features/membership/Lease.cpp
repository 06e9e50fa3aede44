#include "membership/Lease.h"

#include "membership/MessageReader.h"

namespace rr {

using nlohmann::json;

std::string formatLease(const Lease &Item) {
  return json{{"holder", Item.Holder},
              {"fence", Item.Fence},
              {"duration_ms", encodeAge(Item.Duration)},
              {"token", Item.Token}}
      .dump();
}

Outcome<Lease> parseLease(const std::string &Text) {
  const json Document = json::parse(Text, nullptr, false);
  MessageReader Reader(Document);
  Lease Result;
  Result.Holder = Reader.name("holder");
  Result.Fence = Reader.count("fence");
  Result.Duration = Reader.age("duration_ms");
  Result.Token = Reader.text("token");
  if (!Reader.isGood())
    return failure(Errc::Malformed);
  return Result;
}

} // namespace rr
