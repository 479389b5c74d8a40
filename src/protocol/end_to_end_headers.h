#pragma once

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace snipehall {

// Helpers that build the heads of messages that an instance forwards.

inline std::string_view ToStringView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

// Compares ASCII text without regard to case.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

// Returns whether a proxy must not forward the field: a hop-by-hop header, one
// that frames the message, or one that a Connection header in `fields` lists.
bool IsHopByHop(const boost::beast::http::fields& fields,
                const boost::beast::http::fields::value_type& field);

// Appends a "name: value" line that ends in CRLF.
void AppendField(std::string_view name,
                 std::string_view value,
                 std::string& out);
void AppendField(std::string_view name, std::uint64_t value, std::string& out);

// Appends the end-to-end fields, except those for which `is_dropped(field)`
// returns true.
template <typename Predicate>
void AppendEndToEndFields(const boost::beast::http::fields& fields,
                          std::string& out,
                          Predicate is_dropped) {
  for (const auto& field : fields) {
    if (!is_dropped(field) && !IsHopByHop(fields, field)) {
      AppendField(ToStringView(field.name_string()),
                  ToStringView(field.value()), out);
    }
  }
}

}  // namespace snipehall
