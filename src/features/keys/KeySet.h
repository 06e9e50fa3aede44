#ifndef REDWINGRACK_KEYS_KEYSET_H
#define REDWINGRACK_KEYS_KEYSET_H

#include "keys/KeyRecord.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rr {

/// The keys known to this instance, up to a version, and the withdrawals
/// that are not in the store yet.
class KeySet {
public:
  /// Keeps the messages that list the pending withdrawals small.
  static constexpr std::size_t MostPending = 1024;

  std::uint64_t version() const { return this->Version; }
  std::size_t size() const { return this->Slots.size(); }

  /// Merges changes. Of two records of one key the higher version wins, and a
  /// withdrawn key stays withdrawn.
  void merge(const std::vector<KeyRecord> &Records);
  /// Declares that all changes up to \p Complete are merged; a version that
  /// is not higher is ignored. Also drops the pending withdrawals that are
  /// among the merged ones.
  void completeTo(std::uint64_t Complete);

  /// Withdraws a key without the store. True when it was still in use.
  /// Errc::LimitReached when too many wait for the store.
  Outcome<bool> withdrawPending(const KeyHash &Hash);
  const std::set<KeyHash> &pending() const { return this->Pending; }
  /// Identifies the pending withdrawals; empty when there are none.
  const std::string &pendingDigest() const { return this->Digest; }

  /// The record, pending withdrawal included; empty when unknown.
  std::optional<KeyRecord> find(const KeyHash &Hash) const;
  bool isWithdrawn(const KeyHash &Hash) const;
  /// Records that changed after a version, in the order of their versions,
  /// at most \p Most and a remainder of the last version.
  std::vector<KeyRecord> changedAfter(std::uint64_t After,
                                      std::size_t Most) const;
  /// Bytes on the heap.
  std::size_t memoryBytes() const;

private:
  struct Slot {
    KeyHash Hash;
    std::uint64_t Version;
    std::uint32_t Workspace;
    bool Withdrawn;
  };

  Slot makeSlot(const KeyRecord &Record);
  KeyRecord recordOf(const Slot &Item) const;
  const Slot *findSlot(const KeyHash &Hash) const;
  void refreshDigest();

  /// Sorted by hash: 48 bytes a key, where a hash table of nodes takes twice
  /// as much.
  std::vector<Slot> Slots;
  std::vector<std::string> Workspaces;
  std::unordered_map<std::string, std::uint32_t> WorkspaceNumbers;
  std::set<KeyHash> Pending;
  std::string Digest;
  std::uint64_t Version = 0;
};

} // namespace rr

#endif // REDWINGRACK_KEYS_KEYSET_H
