#include "httpserver/HttpServerRequest.h"

#include "httpserver/HttpResponse.h"

#include <cstdlib>
#include <utility>

namespace rr {

namespace {

std::string decodeQueryText(const std::string &Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      const std::string Digits = Text.substr(I + 1, 2);
      Result.push_back(
          static_cast<char>(std::strtol(Digits.c_str(), nullptr, 16)));
      I += 2;
    } else {
      Result.push_back(Text[I] == '+' ? ' ' : Text[I]);
    }
  }
  return Result;
}

} // namespace

std::string queryParameter(const HttpServerRequest &Request,
                           const std::string &Name) {
  std::size_t Start = 0;
  while (Start <= Request.Query.size()) {
    const std::size_t End =
        std::min(Request.Query.find('&', Start), Request.Query.size());
    const std::string Pair = Request.Query.substr(Start, End - Start);
    const std::size_t Equals = Pair.find('=');
    if (Equals != std::string::npos &&
        decodeQueryText(Pair.substr(0, Equals)) == Name)
      return decodeQueryText(Pair.substr(Equals + 1));
    Start = End + 1;
  }
  return {};
}

HttpResponse jsonResponse(int Status, std::string Body) {
  HttpResponse Result;
  Result.Status = Status;
  Result.Headers = {{"Content-Type", "application/json"}};
  Result.Body = std::move(Body);
  return Result;
}

} // namespace rr
