#include "peerlink/CborScan.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace rr {

namespace {

constexpr std::size_t MaxNestingDepth = 32;
// Limits the memory of one parsed message to some MiB: an item takes at least
// 16 bytes.
constexpr std::size_t MaxItems = 262'144;

enum Major : unsigned { ByteText = 2, Text = 3, Array = 4, Map = 5, Tag = 6 };

struct Header {
  unsigned Kind;
  std::uint64_t Argument;
};

bool isContinuation(unsigned char Byte) { return (Byte & 0xC0) == 0x80; }

// Length of the UTF-8 sequence that starts with Lead; 0 when Lead is invalid.
std::size_t sequenceSize(unsigned char Lead) {
  if (Lead < 0x80)
    return 1;
  if (Lead >= 0xC2 && Lead < 0xE0)
    return 2;
  if (Lead >= 0xE0 && Lead < 0xF0)
    return 3;
  return Lead >= 0xF0 && Lead < 0xF5 ? 4 : 0;
}

bool isUtf8(std::string_view Bytes) {
  for (std::size_t At = 0; At < Bytes.size();) {
    const auto Lead = static_cast<unsigned char>(Bytes[At]);
    const std::size_t Size = sequenceSize(Lead);
    if (Size == 0 || Size > Bytes.size() - At)
      return false;
    for (std::size_t I = 1; I < Size; ++I)
      if (!isContinuation(static_cast<unsigned char>(Bytes[At + I])))
        return false;
    const auto Second =
        Size > 1 ? static_cast<unsigned char>(Bytes[At + 1]) : 0U;
    // Reject overlong forms, surrogates and values above U+10FFFF.
    if ((Lead == 0xE0 && Second < 0xA0) || (Lead == 0xED && Second > 0x9F) ||
        (Lead == 0xF0 && Second < 0x90) || (Lead == 0xF4 && Second > 0x8F))
      return false;
    At += Size;
  }
  return true;
}

class Scanner {
public:
  explicit Scanner(std::string_view Bytes) : Rest(Bytes) {}

  bool scan() {
    this->Open.push_back(1);
    while (!this->Open.empty()) {
      if (this->Open.back() == 0) {
        this->Open.pop_back();
        continue;
      }
      --this->Open.back();
      if (!this->scanItem())
        return false;
    }
    return this->Rest.empty();
  }

private:
  bool readHeader(Header &Result) {
    if (this->Rest.empty())
      return false;
    const auto First = static_cast<unsigned char>(this->Rest.front());
    this->Rest.remove_prefix(1);
    Result.Kind = First >> 5;
    const unsigned Info = First & 31;
    Result.Argument = Info;
    if (Info < 24)
      return true;
    if (Info > 27)
      return false;
    const std::size_t Size = std::size_t{1} << (Info - 24);
    if (Size > this->Rest.size())
      return false;
    Result.Argument = 0;
    for (std::size_t I = 0; I < Size; ++I)
      Result.Argument =
          (Result.Argument << 8) | static_cast<unsigned char>(this->Rest[I]);
    this->Rest.remove_prefix(Size);
    return true;
  }

  bool openContainer(std::uint64_t Count, std::uint64_t PerEntry) {
    if (Count > MaxItems || this->Open.size() > MaxNestingDepth)
      return false;
    this->Open.push_back(Count * PerEntry);
    return true;
  }

  bool readBytes(std::uint64_t Size, bool MustBeUtf8) {
    if (Size > this->Rest.size())
      return false;
    const auto Part = this->Rest.substr(0, static_cast<std::size_t>(Size));
    this->Rest.remove_prefix(Part.size());
    return !MustBeUtf8 || isUtf8(Part);
  }

  bool scanItem() {
    Header Next{};
    if (++this->Items > MaxItems || !this->readHeader(Next))
      return false;
    switch (Next.Kind) {
    case ByteText:
    case Text:
      return this->readBytes(Next.Argument, Next.Kind == Text);
    case Array:
      return this->openContainer(Next.Argument, 1);
    case Map:
      return this->openContainer(Next.Argument, 2);
    case Tag:
      return false;
    default:
      return true;
    }
  }

  std::string_view Rest;
  // Number of items still expected in each open array or map.
  std::vector<std::uint64_t> Open;
  std::size_t Items = 0;
};

} // namespace

bool isBoundedCbor(std::string_view Bytes) { return Scanner(Bytes).scan(); }

} // namespace rr
