#include "httpserver/ReasonPhrase.h"

#include <map>

namespace rr {

std::string reasonPhrase(int Status) {
  static const std::map<int, const char *> Phrases = {
      {200, "OK"},
      {201, "Created"},
      {202, "Accepted"},
      {204, "No Content"},
      {304, "Not Modified"},
      {400, "Bad Request"},
      {401, "Unauthorized"},
      {403, "Forbidden"},
      {404, "Not Found"},
      {405, "Method Not Allowed"},
      {409, "Conflict"},
      {413, "Content Too Large"},
      {422, "Unprocessable Content"},
      {429, "Too Many Requests"},
      {500, "Internal Server Error"},
      {502, "Bad Gateway"},
      {503, "Service Unavailable"},
      {504, "Gateway Timeout"},
  };
  const auto Found = Phrases.find(Status);
  return Found == Phrases.end() ? "Status" : Found->second;
}

} // namespace rr
