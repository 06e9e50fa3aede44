#include "keys/KeySet.h"

#include "base/Digest.h"

#include <algorithm>
#include <iterator>

namespace rr {

namespace {

// The search goes by the first bytes, which an attacker cannot choose through
// a hash; the whole hash is compared in constant time.
std::uint64_t prefixOf(const KeyHash &Hash) {
  std::uint64_t Result = 0;
  for (int I = 0; I < 8; ++I)
    Result = (Result << 8) | Hash.Bytes[I];
  return Result;
}

} // namespace

KeySet::Slot KeySet::makeSlot(const KeyRecord &Record) {
  const auto Number = static_cast<std::uint32_t>(this->Workspaces.size());
  const auto [Found, IsNew] =
      this->WorkspaceNumbers.try_emplace(Record.Workspace, Number);
  if (IsNew)
    this->Workspaces.push_back(Record.Workspace);
  return {Record.Hash, Record.Version, Found->second, Record.Withdrawn};
}

KeyRecord KeySet::recordOf(const Slot &Item) const {
  return {Item.Hash, this->Workspaces[Item.Workspace], Item.Withdrawn,
          Item.Version};
}

const KeySet::Slot *KeySet::findSlot(const KeyHash &Hash) const {
  const std::uint64_t Prefix = prefixOf(Hash);
  auto Next = std::lower_bound(this->Slots.begin(), this->Slots.end(), Prefix,
                               [](const Slot &Item, std::uint64_t Value) {
                                 return prefixOf(Item.Hash) < Value;
                               });
  for (; Next != this->Slots.end() && prefixOf(Next->Hash) == Prefix; ++Next)
    if (isEqual(Next->Hash, Hash))
      return &*Next;
  return nullptr;
}

void KeySet::merge(const std::vector<KeyRecord> &Records) {
  std::vector<Slot> Added;
  for (const KeyRecord &Record : Records) {
    const Slot Incoming = this->makeSlot(Record);
    Slot *Known = const_cast<Slot *>(this->findSlot(Record.Hash));
    if (!Known) {
      Added.push_back(Incoming);
      continue;
    }
    const bool Withdrawn = Known->Withdrawn || Incoming.Withdrawn;
    if (Incoming.Version > Known->Version)
      *Known = Incoming;
    Known->Withdrawn = Withdrawn;
  }
  if (Added.empty())
    return;
  const auto ByHash = [](const Slot &Left, const Slot &Right) {
    return Left.Hash < Right.Hash;
  };
  // One key twice among the added ones: the last change comes first and the
  // others are dropped.
  std::sort(Added.begin(), Added.end(),
            [](const Slot &Left, const Slot &Right) {
              if (Left.Hash != Right.Hash)
                return Left.Hash < Right.Hash;
              if (Left.Withdrawn != Right.Withdrawn)
                return Left.Withdrawn;
              return Left.Version > Right.Version;
            });
  Added.erase(std::unique(Added.begin(), Added.end(),
                          [](const Slot &Left, const Slot &Right) {
                            return Left.Hash == Right.Hash;
                          }),
              Added.end());
  std::vector<Slot> Merged;
  Merged.reserve(this->Slots.size() + Added.size());
  std::merge(this->Slots.begin(), this->Slots.end(), Added.begin(), Added.end(),
             std::back_inserter(Merged), ByHash);
  this->Slots.swap(Merged);
}

void KeySet::completeTo(std::uint64_t Complete) {
  this->Version = std::max(this->Version, Complete);
  const std::size_t Dropped =
      std::erase_if(this->Pending, [&](const KeyHash &Hash) {
        const Slot *Found = this->findSlot(Hash);
        return Found && Found->Withdrawn && Found->Version <= this->Version;
      });
  if (Dropped > 0)
    this->refreshDigest();
}

Outcome<bool> KeySet::withdrawPending(const KeyHash &Hash) {
  if (this->isWithdrawn(Hash))
    return false;
  if (this->Pending.size() >= MostPending)
    return failure(Errc::LimitReached);
  this->Pending.insert(Hash);
  this->refreshDigest();
  return true;
}

void KeySet::refreshDigest() {
  std::string Text;
  for (const KeyHash &Hash : this->Pending)
    Text += toHex(Hash);
  this->Digest = Text.empty() ? Text : sha256Hex(Text).substr(0, 32);
}

std::optional<KeyRecord> KeySet::find(const KeyHash &Hash) const {
  const bool IsPending = this->Pending.count(Hash) > 0;
  const Slot *Found = this->findSlot(Hash);
  if (!Found && !IsPending)
    return std::nullopt;
  KeyRecord Result = Found ? this->recordOf(*Found) : KeyRecord{Hash, {}, true};
  Result.Withdrawn = Result.Withdrawn || IsPending;
  return Result;
}

bool KeySet::isWithdrawn(const KeyHash &Hash) const {
  const auto Found = this->find(Hash);
  return Found && Found->Withdrawn;
}

std::vector<KeyRecord> KeySet::changedAfter(std::uint64_t After,
                                            std::size_t Most) const {
  std::vector<const Slot *> Changed;
  for (const Slot &Item : this->Slots)
    if (Item.Version > After)
      Changed.push_back(&Item);
  std::sort(Changed.begin(), Changed.end(),
            [](const Slot *Left, const Slot *Right) {
              return Left->Version < Right->Version;
            });
  std::vector<KeyRecord> Result;
  for (const Slot *Item : Changed) {
    if (Result.size() >= Most && Item->Version != Result.back().Version)
      break;
    Result.push_back(this->recordOf(*Item));
  }
  return Result;
}

std::size_t KeySet::memoryBytes() const {
  std::size_t Result = this->Slots.capacity() * sizeof(Slot);
  for (const std::string &Name : this->Workspaces)
    Result += 2 * (sizeof(std::string) + Name.capacity()) + sizeof(void *) * 4;
  return Result + this->Pending.size() * (sizeof(KeyHash) + sizeof(void *) * 4);
}

} // namespace rr
