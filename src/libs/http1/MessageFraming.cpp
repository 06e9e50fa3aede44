#include "http1/MessageFraming.h"

#include <algorithm>

namespace rr {

namespace {

/// More digits than any body that is accepted needs.
constexpr std::size_t MaxLengthDigits = 18;

bool isLength(const std::string &Value) {
  return !Value.empty() && Value.size() <= MaxLengthDigits &&
         std::all_of(Value.begin(), Value.end(),
                     [](char Byte) { return Byte >= '0' && Byte <= '9'; });
}

} // namespace

bool isBodyless(int Status) {
  return (Status >= 100 && Status < 200) || Status == 204 || Status == 304;
}

MessageFault framingFault(const HttpHeaders &Headers) {
  int Codings = 0;
  int Lengths = 0;
  for (const HttpHeader &Field : Headers) {
    if (equalIgnoreCase(Field.Name, "Transfer-Encoding")) {
      if (++Codings > 1 || !equalIgnoreCase(Field.Value, "chunked"))
        return MessageFault::TransferCoding;
    } else if (equalIgnoreCase(Field.Name, "Content-Length")) {
      if (++Lengths > 1 || !isLength(Field.Value))
        return MessageFault::BodyLength;
    }
  }
  return Codings + Lengths > 1 ? MessageFault::BodyLength : MessageFault::None;
}

} // namespace rr
