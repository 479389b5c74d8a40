#include "state/hash_range.h"

#include <xxhash.h>

#include <charconv>

namespace snipehall {

namespace {

constexpr std::size_t kHexDigits = 16;

}  // namespace

std::uint64_t HashKey(std::string_view key) {
  return XXH3_64bits(key.data(), key.size());
}

std::string ToHex(std::uint64_t hash) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(kHexDigits, '0');
  for (std::size_t i = kHexDigits; i > 0; --i) {
    text[i - 1] = kDigits[hash & 0xf];
    hash >>= 4;
  }
  return text;
}

Result<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t hash = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, hash, 16);
  if (text.size() != kHexDigits || parsed.ec != std::errc() ||
      parsed.ptr != end) {
    return Fail(
        ErrorCode::kInvalidArgument,
        "expected 16 hexadecimal digits, found '" + std::string(text) + "'");
  }
  return hash;
}

}  // namespace snipehall
