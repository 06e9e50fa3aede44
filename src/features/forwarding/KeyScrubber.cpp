#include "forwarding/KeyScrubber.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>

namespace rr {

namespace {

constexpr std::array CredentialNames = {"key",    "api_key",      "apikey",
                                        "token",  "access_token", "auth",
                                        "bearer", "authorization"};

bool isCredentialName(const std::string &Name) {
  return std::any_of(
      CredentialNames.begin(), CredentialNames.end(),
      [&](const char *Item) { return equalIgnoreCase(Item, Name); });
}

bool holds(const std::string &Text, const std::string &Presented) {
  return !Presented.empty() && Text.find(Presented) != std::string::npos;
}

// A key may be hidden by encoding it more than once.
std::vector<std::string> decodings(const std::string &Text) {
  constexpr std::size_t MostDecodings = 3;
  std::vector<std::string> Result{Text};
  while (Result.size() <= MostDecodings) {
    std::string Next = decodePercent(Result.back());
    if (Next == Result.back())
      break;
    Result.push_back(std::move(Next));
  }
  return Result;
}

bool isOrHoldsKey(const KeyScrubber &Scrubber, const std::string &Text,
                  const std::string &Presented) {
  for (const std::string &Form : decodings(Text))
    if (holds(Form, Presented) || Scrubber.IsKey(Form))
      return true;
  return false;
}

bool keepsParameter(const KeyScrubber &Scrubber, const std::string &Parameter,
                    const std::string &Presented) {
  const auto Equals = Parameter.find('=');
  const std::string Name = decodePercent(Parameter.substr(0, Equals));
  if (isCredentialName(Name) || isOrHoldsKey(Scrubber, Name, Presented))
    return false;
  return Equals == std::string::npos ||
         !isOrHoldsKey(Scrubber, Parameter.substr(Equals + 1), Presented);
}

int hexValue(char Digit) {
  const auto Lower = std::tolower(static_cast<unsigned char>(Digit));
  if (Lower >= '0' && Lower <= '9')
    return Lower - '0';
  return Lower >= 'a' && Lower <= 'f' ? Lower - 'a' + 10 : -1;
}

} // namespace

std::string decodePercent(const std::string &Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const bool Escape = Text[I] == '%' && I + 2 < Text.size() &&
                        hexValue(Text[I + 1]) >= 0 &&
                        hexValue(Text[I + 2]) >= 0;
    if (!Escape) {
      Result.push_back(Text[I]);
      continue;
    }
    Result.push_back(
        static_cast<char>(hexValue(Text[I + 1]) * 16 + hexValue(Text[I + 2])));
    I += 2;
  }
  return Result;
}

std::string queryForServer(const KeyScrubber &Scrubber,
                           const std::string &Query,
                           const std::string &Presented) {
  std::string Result;
  std::istringstream Text(Query);
  for (std::string Parameter; std::getline(Text, Parameter, '&');) {
    if (!keepsParameter(Scrubber, Parameter, Presented))
      continue;
    if (!Result.empty())
      Result += '&';
    Result += Parameter;
  }
  return Result;
}

bool carriesKey(const KeyScrubber &Scrubber, const std::string &Path,
                const HttpHeaders &Headers, const std::string &Body,
                const std::string &Presented) {
  std::istringstream Segments(Path);
  for (std::string Segment; std::getline(Segments, Segment, '/');)
    if (!Segment.empty() && isOrHoldsKey(Scrubber, Segment, Presented))
      return true;
  for (const HttpHeader &Field : Headers)
    if (isOrHoldsKey(Scrubber, Field.Value, Presented))
      return true;
  return holds(Body, Presented);
}

} // namespace rr
