#include "base/HttpHeader.h"

#include <algorithm>
#include <cctype>

namespace rr {

bool equalIgnoreCase(const std::string &Left, const std::string &Right) {
  const auto Same = [](unsigned char A, unsigned char B) {
    return std::tolower(A) == std::tolower(B);
  };
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(), Same);
}

const std::string *findHeader(const HttpHeaders &Headers,
                              const std::string &Name) {
  for (const HttpHeader &Field : Headers)
    if (equalIgnoreCase(Field.Name, Name))
      return &Field.Value;
  return nullptr;
}

} // namespace rr
