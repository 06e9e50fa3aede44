#include "telemetry/TraceContext.h"

#include "base/Random.h"

#include <algorithm>

namespace rr {

namespace {

constexpr std::size_t TraceIdLength = 32;
constexpr std::size_t SpanIdLength = 16;
constexpr std::size_t HeaderLength = 55;

std::string randomHex(std::size_t Length) {
  // Span identifiers are not secret, so a fast generator is sufficient.
  static RandomEngine Engine(randomSeed());
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Result;
  while (Result.size() < Length) {
    std::uint64_t Value = Engine();
    for (int I = 0; I < 16 && Result.size() < Length; ++I, Value >>= 4)
      Result.push_back(Digits[Value & 15]);
  }
  return Result;
}

bool isHex(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
  });
}

bool isZero(const std::string &Text) {
  return Text.find_first_not_of('0') == std::string::npos;
}

} // namespace

std::optional<TraceContext> parseTraceParent(const std::string &Text) {
  if (Text.size() < HeaderLength || Text[2] != '-' || Text[35] != '-' ||
      Text[52] != '-')
    return std::nullopt;
  const std::string Version = Text.substr(0, 2);
  TraceContext Result;
  Result.TraceId = Text.substr(3, TraceIdLength);
  Result.SpanId = Text.substr(36, SpanIdLength);
  const std::string Flags = Text.substr(53, 2);
  if (!isHex(Version) || Version == "ff" || !isHex(Result.TraceId) ||
      !isHex(Result.SpanId) || !isHex(Flags) || isZero(Result.TraceId) ||
      isZero(Result.SpanId))
    return std::nullopt;
  Result.Sampled = (std::stoi(Flags, nullptr, 16) & 1) != 0;
  return Result;
}

std::string formatTraceParent(const TraceContext &Context) {
  return "00-" + Context.TraceId + "-" + Context.SpanId +
         (Context.Sampled ? "-01" : "-00");
}

TraceContext newTrace() {
  return {randomHex(TraceIdLength), randomHex(SpanIdLength), true};
}

TraceContext childOf(const TraceContext &Parent) {
  return {Parent.TraceId, randomHex(SpanIdLength), Parent.Sampled};
}

} // namespace rr
