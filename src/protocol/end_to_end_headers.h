#pragma once

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace snipehall {

// Pieces of the heads of messages that an instance passes on.

inline std::string_view ViewOf(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

bool EqualsIgnoringCase(std::string_view left, std::string_view right);

// Whether the field concerns one connection only: the hop-by-hop headers, those
// that frame the message, and those that a Connection header of `fields` names.
bool IsHopByHop(const boost::beast::http::fields& fields,
                const boost::beast::http::fields::value_type& field);

void AppendField(std::string_view name,
                 std::string_view value,
                 std::string& out);
void AppendField(std::string_view name, std::uint64_t value, std::string& out);

// Appends the end-to-end headers, but for those that `is_dropped` names.
template <typename Predicate>
void AppendEndToEnd(const boost::beast::http::fields& fields,
                    std::string& out,
                    Predicate is_dropped) {
  for (const auto& field : fields) {
    if (!is_dropped(field) && !IsHopByHop(fields, field)) {
      AppendField(ViewOf(field.name_string()), ViewOf(field.value()), out);
    }
  }
}

}  // namespace snipehall
