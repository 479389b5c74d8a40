#include "protocol/request_digest.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <memory>

#include "protocol/end_to_end_headers.h"

namespace snipehall {

namespace {

struct StateDeleter {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

// Hashes a sequence of texts, so that two sequences with the same
// concatenation differ.
class TextHasher {
 public:
  TextHasher() : m_state(XXH3_createState()) {
    XXH3_64bits_reset(m_state.get());
  }
  void Add(std::string_view text) {
    const std::uint64_t size = text.size();
    XXH3_64bits_update(m_state.get(), &size, sizeof(size));
    XXH3_64bits_update(m_state.get(), text.data(), text.size());
  }
  std::uint64_t hash() const { return XXH3_64bits_digest(m_state.get()); }

 private:
  std::unique_ptr<XXH3_state_t, StateDeleter> m_state;
};

}  // namespace

RequestDigest DigestRequest(const boost::beast::http::request_header<>& head,
                            const GatewayHeaderNames& names,
                            std::string_view body) {
  TextHasher hasher;
  hasher.Add(ToStringView(head.method_string()));
  hasher.Add(ToStringView(head[boost::beast::http::field::host]));
  hasher.Add(ToStringView(head.target()));
  hasher.Add(ToStringView(head[{names.key.data(), names.key.size()}]));
  hasher.Add(body);
  return hasher.hash();
}

std::string ToString(RequestDigest digest) {
  std::array<char, 17> text = {};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(digest));
  return text.data();
}

}  // namespace snipehall
