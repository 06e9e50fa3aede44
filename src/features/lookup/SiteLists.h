#ifndef REDWINGRACK_LOOKUP_SITELISTS_H
#define REDWINGRACK_LOOKUP_SITELISTS_H

#include <cstdint>
#include <span>
#include <vector>

namespace rr {

/// Ordered lists of sites, each kept once. Many client blocks share a list.
class SiteLists {
public:
  SiteLists();

  /// Number of the list; the same list always gets the same number.
  std::uint32_t add(std::span<const std::uint16_t> Sites);
  /// \p List must come from add().
  std::span<const std::uint16_t> get(std::uint32_t List) const;
  std::size_t size() const { return this->Offsets.size() - 1; }
  std::size_t memoryBytes() const;

private:
  std::size_t bucketOf(std::span<const std::uint16_t> Sites) const;
  void growBuckets();

  std::vector<std::uint16_t> Sites;
  std::vector<std::uint32_t> Offsets;
  // Open addressing; an element is the number of a list plus one, or 0.
  std::vector<std::uint32_t> Buckets;
};

} // namespace rr

#endif // REDWINGRACK_LOOKUP_SITELISTS_H
