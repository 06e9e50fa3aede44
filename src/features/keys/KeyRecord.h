#ifndef REDWINGRACK_KEYS_KEYRECORD_H
#define REDWINGRACK_KEYS_KEYRECORD_H

#include "keys/KeyHash.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace rr {

class MessageReader;

/// Contents of the rows `keys/<hash>` and `keys/change/<version>`.
struct KeyRecord {
  KeyHash Hash;
  /// Empty for a withdrawn key that was never issued here.
  std::string Workspace;
  /// Final: a withdrawn key is never issued again.
  bool Withdrawn = false;
  /// Key set version of the last change.
  std::uint64_t Version = 0;
};

nlohmann::json encode(const KeyRecord &Record);
/// Notes a mistake in the reader.
KeyRecord readKeyRecord(MessageReader &Reader);
Outcome<KeyRecord> parseKeyRecord(const std::string &Text);

} // namespace rr

#endif // REDWINGRACK_KEYS_KEYRECORD_H
