#include "tables/RelayMessages.h"

#include "peerlink/MessageBody.h"

#include <nlohmann/json.hpp>

namespace rr {

using nlohmann::json;

namespace {

// Any program may write keys and values, so they need not be valid UTF-8.
json toBinary(const std::string &Text) {
  return json::binary({Text.begin(), Text.end()});
}

/// A query waits for less. Rows that claim to be complete for longer would
/// count as current although they are not followed.
constexpr Clock::duration MaxAhead = std::chrono::hours(1);
/// Larger times overflow when they are added up.
constexpr Clock::duration MaxTime = std::chrono::seconds(1'000'000'000);

bool hasValidTimes(const RelayAnswer &Answer) {
  return Answer.AsOfOffset >= -MaxTime && Answer.AsOfOffset <= MaxAhead &&
         Answer.Rows.StoreTime >= -MaxTime && Answer.Rows.StoreTime <= MaxTime;
}

std::string toText(const json &Bytes) {
  const auto &Content = Bytes.get_binary();
  return {Content.begin(), Content.end()};
}

} // namespace

std::string encodeRelayQuery(const RelayQuery &Query) {
  return encodeBody(json::array({Query.Table, Query.After}));
}

Outcome<RelayQuery> decodeRelayQuery(const std::string &Body) {
  const auto Value = decodeBody(Body);
  if (!Value || !Value->is_array() || Value->size() != 2 ||
      !(*Value)[0].is_string() || !(*Value)[1].is_number_unsigned())
    return failure(Errc::Malformed);
  return RelayQuery{(*Value)[0].get<std::string>(),
                    (*Value)[1].get<std::uint64_t>()};
}

std::string encodeRelayAnswer(const RelayAnswer &Answer) {
  const TableRows &Rows = Answer.Rows;
  json Items = json::array();
  for (const TableRow &Row : Rows.Rows)
    Items.push_back(json::array({toBinary(Row.Key), toBinary(Row.Value),
                                 Row.Version.Number, Row.Deleted}));
  // All rows of an answer are of one era.
  return encodeBody(json::array({Rows.Version.Number, Rows.StoreTime.count(),
                                 std::move(Items), Answer.AsOfOffset.count(),
                                 Rows.Version.Era}));
}

Outcome<RelayAnswer> decodeRelayAnswer(const std::string &Body) {
  const auto Value = decodeBody(Body);
  if (!Value)
    return tl::unexpected<std::error_code>(Value.error());
  try {
    RelayAnswer Answer;
    TableRows &Result = Answer.Rows;
    if (!Value->at(0).is_number_unsigned() ||
        !Value->at(1).is_number_integer() || !Value->at(3).is_number_integer())
      return failure(Errc::Malformed);
    Value->at(0).get_to(Result.Version.Number);
    Answer.HasEra = Value->size() > 4;
    if (Answer.HasEra) {
      if (!Value->at(4).is_number_unsigned())
        return failure(Errc::Malformed);
      Value->at(4).get_to(Result.Version.Era);
    }
    Result.StoreTime = Clock::duration(Value->at(1).get<Clock::rep>());
    for (const json &Item : Value->at(2)) {
      TableRow Row;
      Row.Key = toText(Item.at(0));
      Row.Value = toText(Item.at(1));
      if (!Item.at(2).is_number_unsigned())
        return failure(Errc::Malformed);
      Item.at(2).get_to(Row.Version.Number);
      Row.Version.Era = Result.Version.Era;
      Item.at(3).get_to(Row.Deleted);
      Result.Rows.push_back(std::move(Row));
    }
    Answer.AsOfOffset = Clock::duration(Value->at(3).get<Clock::rep>());
    if (!hasValidTimes(Answer))
      return failure(Errc::Malformed);
    return Answer;
  } catch (const json::exception &) {
    return failure(Errc::Malformed);
  }
}

} // namespace rr
