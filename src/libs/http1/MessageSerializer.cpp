#include "http1/MessageSerializer.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>
#include <vector>

namespace rr {

namespace {

constexpr std::array HopByHopNames = {
    "Connection",        "Keep-Alive",
    "Proxy-Connection",  "TE",
    "Trailer",           "Upgrade",
    "Content-Length",    "Expect",
    "Transfer-Encoding", "Proxy-Authorization",
    "Proxy-Authenticate"};

std::vector<std::string> connectionTokens(const HttpHeaders &Headers) {
  std::vector<std::string> Tokens;
  for (const HttpHeader &Field : Headers) {
    if (!equalIgnoreCase(Field.Name, "Connection"))
      continue;
    std::string Token;
    for (const char Character : Field.Value + ",") {
      if (Character != ',' &&
          !std::isspace(static_cast<unsigned char>(Character)))
        Token += Character;
      else if (Character == ',' && !Token.empty())
        Tokens.push_back(std::exchange(Token, {}));
    }
  }
  return Tokens;
}

void appendHeaders(std::string &Text, const HttpHeaders &Headers) {
  for (const HttpHeader &Field : Headers)
    Text.append(Field.Name).append(": ").append(Field.Value).append("\r\n");
}

const char *reasonPhrase(int Status) {
  switch (Status) {
#define RR_REASON(NUMBER, NAME, TEXT)                                          \
  case NUMBER:                                                                 \
    return #TEXT;
    HTTP_STATUS_MAP(RR_REASON)
#undef RR_REASON
  default:
    return "Unknown";
  }
}

} // namespace

void removeHopByHopHeaders(HttpHeaders &Headers) {
  const std::vector<std::string> Tokens = connectionTokens(Headers);
  const auto IsHopByHop = [&](const HttpHeader &Field) {
    const auto Matches = [&](const auto &Name) {
      return equalIgnoreCase(Field.Name, Name);
    };
    return std::any_of(HopByHopNames.begin(), HopByHopNames.end(), Matches) ||
           std::any_of(Tokens.begin(), Tokens.end(), Matches);
  };
  Headers.erase(std::remove_if(Headers.begin(), Headers.end(), IsHopByHop),
                Headers.end());
}

std::string serializeRequestHeader(const HttpMessage &Request) {
  std::string Text = Request.Method + " " + Request.Target + " HTTP/1.1\r\n";
  appendHeaders(Text, Request.Headers);
  const bool NeedsLength = !Request.Body.empty() || Request.Method == "POST" ||
                           Request.Method == "PUT" || Request.Method == "PATCH";
  if (NeedsLength)
    Text += "Content-Length: " + std::to_string(Request.Body.size()) + "\r\n";
  return Text + "\r\n";
}

std::string serializeResponse(const HttpMessage &Response, bool Close,
                              bool WithBody) {
  std::string Text = "HTTP/1.1 " + std::to_string(Response.Status) + " " +
                     reasonPhrase(Response.Status) + "\r\n";
  Text.reserve(Text.size() + 512 + Response.Body.size());
  appendHeaders(Text, Response.Headers);
  if (Response.Status != 204 && Response.Status != 304)
    Text += "Content-Length: " + std::to_string(Response.Body.size()) + "\r\n";
  if (Close)
    Text += "Connection: close\r\n";
  Text += "\r\n";
  if (WithBody)
    Text += Response.Body;
  return Text;
}

} // namespace rr
