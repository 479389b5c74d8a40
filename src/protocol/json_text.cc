#include "protocol/json_text.h"

#include <boost/json.hpp>

namespace snipehall {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxDescriptionBytes = 80;

}  // namespace

Result<json::value> ParseJson(std::string_view text) {
  json::error_code error;
  json::stream_parser parser;
  std::size_t position = parser.write_some(text.data(), text.size(), error);
  if (!error && position < text.size()) {
    position += text.substr(position).find_first_not_of(" \t\r\n") ==
                        std::string_view::npos
                    ? text.size() - position
                    : 0;
    if (position < text.size()) {
      error = json::error::extra_data;
    }
  }
  if (!error) {
    parser.finish(error);
  }
  if (error) {
    return Fail(ErrorCode::kInvalidArgument, "not JSON: " + error.message() +
                                                 " at byte " +
                                                 std::to_string(position));
  }
  return parser.release();
}

std::string DescribeValue(const json::value& value) {
  std::string text = value.is_string() ? std::string(value.get_string())
                                       : json::serialize(value);
  if (text.size() > kMaxDescriptionBytes) {
    std::size_t end = kMaxDescriptionBytes - 3;
    // Does not cut inside a multi-byte UTF-8 character.
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0) == 0x80) {
      --end;
    }
    text.resize(end);
    text += "...";
  }
  return text;
}

}  // namespace snipehall
