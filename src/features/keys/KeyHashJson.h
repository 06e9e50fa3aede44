#ifndef REDWINGRACK_KEYS_KEYHASHJSON_H
#define REDWINGRACK_KEYS_KEYHASHJSON_H

#include "keys/KeyHash.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace rr {

class MessageReader;

template <typename Range> nlohmann::json encodeHashes(const Range &Hashes) {
  nlohmann::json Result = nlohmann::json::array();
  for (const KeyHash &Hash : Hashes)
    Result.push_back(toHex(Hash));
  return Result;
}

/// Notes a mistake in the reader.
std::vector<KeyHash> readHashes(MessageReader &Reader, const char *Key,
                                std::size_t Most);

} // namespace rr

#endif // REDWINGRACK_KEYS_KEYHASHJSON_H
