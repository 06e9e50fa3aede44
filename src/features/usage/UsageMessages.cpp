#include "usage/UsageMessages.h"

#include "peerlink/MessageBody.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace rr {

using nlohmann::json;

namespace {

std::uint64_t encodeTime(TrueTime Time) {
  return std::uint64_t(Time.time_since_epoch() / std::chrono::milliseconds(1));
}

/// Latest time that a nanosecond clock can hold, with room for differences.
constexpr std::uint64_t MaxMilliseconds = 4'000'000'000'000;

TrueTime decodeTime(const json &Value) {
  return TrueTime(std::chrono::milliseconds(
      std::min(Value.get<std::uint64_t>(), MaxMilliseconds)));
}

/// An array with the kinds of elements that \p Kinds names: text, unsigned
/// number or array.
bool hasKinds(const json &Value, const char *Kinds) {
  if (!Value.is_array())
    return false;
  std::string Found;
  for (const json &Item : Value) {
    if (Item.is_string())
      Found += 't';
    else if (Item.is_number_unsigned())
      Found += 'n';
    else
      Found += Item.is_array() ? 'a' : '?';
  }
  return Found == Kinds;
}

bool readWindow(const json &Item, UsageCountsMessage &Target) {
  if (!Item.is_array() || Item.size() != 2 || !Item[0].is_number_unsigned() ||
      !Item[1].is_object())
    return false;
  UsageCounts &Counts = Target.Windows[Item[0].get<UsageWindow>()];
  for (const auto &[Workspace, Count] : Item[1].items()) {
    if (!Count.is_number_unsigned())
      return false;
    Counts[Workspace] = Count.get<std::uint64_t>();
  }
  return true;
}

json toJson(const UsageCountsMessage &Message) {
  json Windows = json::array();
  for (const auto &[Window, Counts] : Message.Windows)
    Windows.push_back(json::array({Window, json(Counts)}));
  return json::array({Message.Name, Message.Incarnation, Message.Sequence,
                      Message.FirstWindow, encodeTime(Message.SentAt),
                      std::move(Windows)});
}

Outcome<UsageCountsMessage> fromJson(const json &Value) {
  if (!hasKinds(Value, "ttnnna"))
    return failure(Errc::Malformed);
  UsageCountsMessage Message;
  Message.Name = Value[0].get<std::string>();
  Message.Incarnation = Value[1].get<std::string>();
  Message.Sequence = Value[2].get<std::uint64_t>();
  Message.FirstWindow = Value[3].get<UsageWindow>();
  Message.SentAt = decodeTime(Value[4]);
  for (const json &Item : Value[5])
    if (!readWindow(Item, Message))
      return failure(Errc::Malformed);
  return Message;
}

} // namespace

std::string encodeCountsMessage(const UsageCountsMessage &Message) {
  return encodeBody(toJson(Message));
}

Outcome<UsageCountsMessage> decodeCountsMessage(const std::string &Body) {
  const auto Value = decodeBody(Body);
  return Value ? fromJson(*Value) : failure(Errc::Malformed);
}

std::string encodeCountsAnswer(const UsageCountsAnswer &Answer) {
  // Earlier releases refuse answers with a further field, and ignore the era in
  // the row.
  UsageLeaseRow Lease = Answer.Lease;
  Lease.Era = Answer.LeaseVersion.Era;
  return encodeBody(json::array(
      {encodeLeaseRow(Lease), Answer.LeaseVersion.Number, Answer.ClosedThrough,
       encodeTime(Answer.Time),
       Answer.OwnCounts ? toJson(*Answer.OwnCounts) : json::array()}));
}

Outcome<UsageCountsAnswer> decodeCountsAnswer(const std::string &Body) {
  const auto Value = decodeBody(Body);
  if (!Value || !hasKinds(*Value, "tnnna"))
    return failure(Errc::Malformed);
  const auto Lease = decodeLeaseRow((*Value)[0].get<std::string>());
  if (!Lease)
    return failure(Errc::Malformed);
  UsageCountsAnswer Answer{*Lease,
                           {Lease->Era, (*Value)[1].get<std::uint64_t>()},
                           (*Value)[2].get<UsageWindow>(),
                           decodeTime((*Value)[3]),
                           std::nullopt};
  if ((*Value)[4].empty())
    return Answer;
  auto Own = fromJson((*Value)[4]);
  if (!Own)
    return failure(Errc::Malformed);
  Answer.OwnCounts = std::move(*Own);
  return Answer;
}

} // namespace rr
