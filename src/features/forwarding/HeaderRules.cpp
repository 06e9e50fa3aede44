#include "forwarding/HeaderRules.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace rr {

namespace {

constexpr std::array ForwardedHeaders = {
    "Accept",           "Accept-Charset",      "Accept-Encoding",
    "Accept-Language",  "Cache-Control",       "Content-Encoding",
    "Content-Language", "Content-Type",        "Idempotency-Key",
    "If-Match",         "If-Modified-Since",   "If-None-Match",
    "If-Range",         "If-Unmodified-Since", "Range",
    "User-Agent",       "X-Request-Id"};

constexpr std::array HopByHopHeaders = {
    "Connection",        "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Connection",  "Trailer",    "TE",
    "Transfer-Encoding", "Upgrade",    "Content-Length"};

template <typename List>
bool containsName(const List &Names, const std::string &Name) {
  return std::any_of(Names.begin(), Names.end(), [&](const char *Item) {
    return equalIgnoreCase(Item, Name);
  });
}

// Fields that are named in a Connection field are hop-by-hop (RFC 9110, 7.6.1).
std::vector<std::string> connectionOptions(const HttpHeaders &Headers) {
  std::vector<std::string> Result;
  const std::string *Options = findHeader(Headers, "Connection");
  std::istringstream Text(Options ? *Options : "");
  for (std::string Name; std::getline(Text, Name, ',');) {
    Name.erase(0, Name.find_first_not_of(' '));
    Name.erase(Name.find_last_not_of(' ') + 1);
    Result.push_back(Name);
  }
  return Result;
}

bool isConnectionOption(const std::vector<std::string> &Names,
                        const std::string &Name) {
  return std::any_of(Names.begin(), Names.end(), [&](const std::string &Item) {
    return equalIgnoreCase(Item, Name);
  });
}

} // namespace

HttpHeaders headersForServer(const HttpHeaders &RequestHeaders) {
  HttpHeaders Result;
  const auto Options = connectionOptions(RequestHeaders);
  for (const HttpHeader &Field : RequestHeaders)
    if (containsName(ForwardedHeaders, Field.Name) &&
        !isConnectionOption(Options, Field.Name))
      Result.push_back(Field);
  return Result;
}

HttpHeaders headersForCaller(const HttpHeaders &ResponseHeaders) {
  HttpHeaders Result;
  const auto Options = connectionOptions(ResponseHeaders);
  for (const HttpHeader &Field : ResponseHeaders)
    if (!containsName(HopByHopHeaders, Field.Name) &&
        !isConnectionOption(Options, Field.Name))
      Result.push_back(Field);
  return Result;
}

std::string bearerKey(const HttpHeaders &RequestHeaders) {
  static const std::string Scheme = "Bearer ";
  const std::string *Field = findHeader(RequestHeaders, "Authorization");
  if (!Field || Field->size() <= Scheme.size() ||
      !equalIgnoreCase(Field->substr(0, Scheme.size()), Scheme))
    return {};
  std::string Key = Field->substr(Scheme.size());
  Key.erase(0, Key.find_first_not_of(' '));
  Key.erase(Key.find_last_not_of(' ') + 1);
  return Key;
}

} // namespace rr
