#include "state/hash_range.h"

#include <criterion/criterion.h>

using snipehall::HashKey;
using snipehall::ParseHex;
using snipehall::ToHex;

// Guards against a hash function that changes between versions: instances would
// then look up the owner of a key in the wrong range.
Test(hash_range, hash_is_stable) {
  cr_assert_eq(HashKey(""), 0x2d06800538d394c2ULL);
}

// Guards against hashes that change when they are formatted and parsed again.
Test(hash_range, hex_round_trip) {
  for (const std::uint64_t hash :
       {std::uint64_t{0}, UINT64_MAX, std::uint64_t{0x0123456789abcdef}}) {
    const std::string text = ToHex(hash);
    cr_assert_eq(text.size(), 16U);
    cr_assert_eq(ParseHex(text).value(), hash);
  }
}

// Guards against text that is too short, too long or signed and is parsed as a
// hash.
Test(hash_range, malformed_hex_is_rejected) {
  for (const char* text : {"", "0", "00000000000000000", "000000000000000g",
                           "-000000000000001", "+000000000000001"}) {
    cr_assert_not(ParseHex(text).has_value(), "accepted '%s'", text);
  }
}
