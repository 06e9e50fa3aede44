#ifndef REDWINGRACK_BASE_HTTPHEADER_H
#define REDWINGRACK_BASE_HTTPHEADER_H

#include <string>
#include <vector>

namespace rr {

/// One header field of an HTTP message.
struct HttpHeader {
  std::string Name;
  std::string Value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Value of the first field with that name, compared case-insensitively. Null
/// when there is none.
const std::string *findHeader(const HttpHeaders &Headers,
                              const std::string &Name);

/// Compares ASCII text case-insensitively.
bool equalIgnoreCase(const std::string &Left, const std::string &Right);

} // namespace rr

#endif // REDWINGRACK_BASE_HTTPHEADER_H
