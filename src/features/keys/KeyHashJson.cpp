#include "keys/KeyHashJson.h"

#include "membership/MessageReader.h"

namespace rr {

std::vector<KeyHash> readHashes(MessageReader &Reader, const char *Key,
                                std::size_t Most) {
  std::vector<KeyHash> Result;
  for (const std::string &Text : Reader.names(Key, Most)) {
    const auto Hash = parseKeyHash(Text);
    if (Hash)
      Result.push_back(*Hash);
    else
      Reader.fail();
  }
  return Result;
}

} // namespace rr
