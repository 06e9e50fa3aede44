#include "forwarding/KeyScrubber.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>

namespace rr {

namespace {

constexpr std::array CredentialParameters = {"key",    "api_key",      "apikey",
                                             "token",  "access_token", "auth",
                                             "bearer", "authorization"};

bool isCredentialParameter(const std::string &Name) {
  return std::any_of(
      CredentialParameters.begin(), CredentialParameters.end(),
      [&](const char *Item) { return equalIgnoreCase(Item, Name); });
}

bool containsPresentedKey(const std::string &Text,
                          const std::string &PresentedKey) {
  return !PresentedKey.empty() && Text.find(PresentedKey) != std::string::npos;
}

// Returns the text and its repeated percent-decodings, since a key may be
// encoded more than once.
std::vector<std::string> decodedForms(const std::string &Text) {
  constexpr std::size_t MaxDecodings = 3;
  std::vector<std::string> Result{Text};
  while (Result.size() <= MaxDecodings) {
    std::string Next = decodePercent(Result.back());
    if (Next == Result.back())
      break;
    Result.push_back(std::move(Next));
  }
  return Result;
}

bool isOrContainsKey(const KeyScrubber &Scrubber, const std::string &Text,
                     const std::string &PresentedKey) {
  for (const std::string &Form : decodedForms(Text))
    if (containsPresentedKey(Form, PresentedKey) || Scrubber.IsIssuedKey(Form))
      return true;
  return false;
}

bool isSafeParameter(const KeyScrubber &Scrubber, const std::string &Parameter,
                     const std::string &PresentedKey) {
  const auto Equals = Parameter.find('=');
  const std::string Name = decodePercent(Parameter.substr(0, Equals));
  if (isCredentialParameter(Name) ||
      isOrContainsKey(Scrubber, Name, PresentedKey))
    return false;
  return Equals == std::string::npos ||
         !isOrContainsKey(Scrubber, Parameter.substr(Equals + 1), PresentedKey);
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

std::string scrubQuery(const KeyScrubber &Scrubber, const std::string &Query,
                       const std::string &PresentedKey) {
  std::string Result;
  std::istringstream Text(Query);
  for (std::string Parameter; std::getline(Text, Parameter, '&');) {
    if (!isSafeParameter(Scrubber, Parameter, PresentedKey))
      continue;
    if (!Result.empty())
      Result += '&';
    Result += Parameter;
  }
  return Result;
}

bool containsKey(const KeyScrubber &Scrubber, const std::string &Path,
                 const HttpHeaders &Headers, const std::string &Body,
                 const std::string &PresentedKey) {
  std::istringstream Segments(Path);
  for (std::string Segment; std::getline(Segments, Segment, '/');)
    if (!Segment.empty() && isOrContainsKey(Scrubber, Segment, PresentedKey))
      return true;
  for (const HttpHeader &Field : Headers)
    if (isOrContainsKey(Scrubber, Field.Value, PresentedKey))
      return true;
  return containsPresentedKey(Body, PresentedKey);
}

} // namespace rr
