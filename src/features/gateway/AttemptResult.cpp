#include "gateway/AttemptResult.h"

#include "base/Errc.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace rr {

namespace {

/// Bounds of the reported speed, in percent of the usual time of work. A
/// machine outside of them is broken, or the figure is.
constexpr double UsualWorkPercent = 100;
constexpr double MinWorkPercent = 10;
constexpr double MaxWorkPercent = 2000;

/// Requests or slots of one server; a larger figure is nonsense, and the sum of
/// two of them overflows.
constexpr int MaxReportedCount = 1'000'000;

/// Reads a whole number, which blanks may precede, from the start of \p Rest.
bool readCount(std::string_view &Rest, int &Count) {
  Rest.remove_prefix(std::min(Rest.find_first_not_of(" \t"), Rest.size()));
  const char *const End = Rest.data() + Rest.size();
  const auto Read = std::from_chars(Rest.data(), End, Count);
  if (Read.ec != std::errc() || Count < 0 || Count > MaxReportedCount)
    return false;
  Rest.remove_prefix(std::size_t(Read.ptr - Rest.data()));
  return true;
}

bool skipComma(std::string_view &Rest) {
  if (Rest.empty() || Rest.front() != ',')
    return false;
  Rest.remove_prefix(1);
  return true;
}

/// The fourth figure of a load; \p Rest follows the third. Empty if there is
/// none or it makes no sense.
std::optional<double> reportedWorkFactor(std::string_view Rest) {
  if (Rest.empty() || Rest.front() != ',')
    return std::nullopt;
  Rest.remove_prefix(1);
  while (!Rest.empty() && Rest.front() == ' ')
    Rest.remove_prefix(1);
  double Percent = 0;
  const char *const End = Rest.data() + Rest.size();
  const auto Read = std::from_chars(Rest.data(), End, Percent);
  const bool EndsHere = Read.ptr == End || *Read.ptr == ',' || *Read.ptr == ' ';
  if (Read.ec != std::errc() || !EndsHere || !(Percent >= MinWorkPercent) ||
      !(Percent <= MaxWorkPercent))
    return std::nullopt;
  return Percent / UsualWorkPercent;
}

} // namespace

AttemptResult classifyAttempt(const ExchangeResult &Result,
                              const std::string &RequestId,
                              const GatewayHeaders &Names) {
  if (Result.Error == make_error_code(Errc::Cancelled))
    return AttemptResult::Cancelled;
  if (Result.Error == make_error_code(Errc::LimitReached) &&
      !Result.MayHaveBeenSent)
    return AttemptResult::NoConnection;
  if (Result.Error && !Result.MayHaveBeenSent)
    return AttemptResult::Unreachable;
  if (Result.Error == make_error_code(Errc::Timeout))
    return AttemptResult::TimedOut;
  if (Result.Error)
    return AttemptResult::Failed;
  const HttpMessage &Answer = Result.Response;
  // It may be an earlier answer that the server wrote once more.
  const std::string *Echo = findHeader(Answer.Headers, Names.RequestId);
  if (!RequestId.empty() && (!Echo || *Echo != RequestId))
    return AttemptResult::Failed;
  if (Answer.Status == 421)
    return AttemptResult::WrongServer;
  if (findHeader(Answer.Headers, Names.NotRun))
    return AttemptResult::NotRun;
  const bool Success = Answer.Status >= 200 && Answer.Status < 300;
  if (Success && (!Echo || !findHeader(Answer.Headers, Names.ServerStamp) ||
                  findHeader(Answer.Headers, "Content-Encoding")))
    return AttemptResult::Failed;
  return AttemptResult::Answered;
}

const char *attemptResultName(AttemptResult Result) {
  switch (Result) {
  case AttemptResult::Answered:
    return "answered";
  case AttemptResult::Unreachable:
    return "unreachable";
  case AttemptResult::NotRun:
    return "not_run";
  case AttemptResult::WrongServer:
    return "wrong_server";
  case AttemptResult::Failed:
    return "failed";
  case AttemptResult::TimedOut:
    return "timed_out";
  case AttemptResult::NoConnection:
    return "no_connection";
  case AttemptResult::Expired:
    return "expired";
  case AttemptResult::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

std::optional<LoadSample> reportedLoad(const HttpMessage &Answer,
                                       const GatewayHeaders &Names) {
  const std::string *Field = findHeader(Answer.Headers, Names.Load);
  if (!Field)
    return std::nullopt;
  LoadSample Sample;
  std::string_view Rest = *Field;
  if (!readCount(Rest, Sample.Running) || !skipComma(Rest) ||
      !readCount(Rest, Sample.Waiting) || !skipComma(Rest) ||
      !readCount(Rest, Sample.Slots))
    return std::nullopt;
  Sample.WorkFactor = reportedWorkFactor(Rest);
  return Sample;
}

bool hasWorkFactor(const HttpMessage &Answer, const GatewayHeaders &Names) {
  constexpr std::ptrdiff_t CommasBefore = 3;
  const std::string *Field = findHeader(Answer.Headers, Names.Load);
  return Field && std::count(Field->begin(), Field->end(), ',') >= CommasBefore;
}

Outcome<std::optional<double>> reportedLimit(const HttpMessage &Answer,
                                             const GatewayHeaders &Names) {
  const std::string *Field = findHeader(Answer.Headers, Names.Limit);
  if (!Field)
    return std::optional<double>();
  double Limit = 0;
  const char *const End = Field->data() + Field->size();
  const auto Read = std::from_chars(Field->data(), End, Limit);
  if (Read.ec != std::errc() || Read.ptr != End || !std::isfinite(Limit) ||
      Limit < 0)
    return failure(Errc::Malformed);
  return std::optional<double>(Limit);
}

} // namespace rr
