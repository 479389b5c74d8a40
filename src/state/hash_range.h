#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "state/result.h"

namespace snipehall {

// A range of the 64-bit hash space; both ends are inclusive.
struct HashRange {
  std::uint64_t first = 0;
  std::uint64_t last = UINT64_MAX;

  bool Contains(std::uint64_t hash) const {
    return first <= hash && hash <= last;
  }
  bool Overlaps(const HashRange& other) const {
    return first <= other.last && other.first <= last;
  }
  bool IsSingleHash() const { return first == last; }

  // False positive of clang-tidy 14: it takes the comparison with zero that the
  // compiler generates here for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const HashRange&) const = default;
};

// Returns the hash of a key: XXH3, 64 bits, seed 0.
std::uint64_t HashKey(std::string_view key);

// Formats a hash as sixteen lower-case hexadecimal digits.
std::string ToHex(std::uint64_t hash);

// Parses exactly sixteen hexadecimal digits; fails with kInvalidArgument
// otherwise.
Result<std::uint64_t> ParseHex(std::string_view text);

}  // namespace snipehall
