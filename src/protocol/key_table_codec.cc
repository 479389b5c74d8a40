#include "protocol/key_table_codec.h"

#include <boost/json.hpp>
#include <boost/outcome/try.hpp>

namespace snipehall {

namespace {

namespace json = boost::json;

auto Corrupt(const std::string& message) {
  return Fail(ErrorCode::kCorrupt, "key table: " + message);
}

Result<KeyAssignment> DecodeRange(const json::value& value) {
  const json::array* items = value.if_array();
  if (items == nullptr || items->size() != 6) {
    return Corrupt("a range is not an array of 6");
  }
  const auto number = [items](std::size_t index) {
    return items->at(index).to_number<std::uint64_t>();
  };
  const auto text = [items](std::size_t index) {
    return std::string(items->at(index).as_string());
  };
  KeyAssignment range;
  const std::uint64_t first = number(0);
  const std::uint64_t last = number(1);
  if (first > last || last > kLastKey) {
    return Corrupt("a range is out of bounds");
  }
  range.first = static_cast<KeyNumber>(first);
  range.last = static_cast<KeyNumber>(last);
  range.owner = text(2);
  range.owner_born_ms = items->at(3).to_number<std::int64_t>();
  range.fence = number(4);
  range.previous = text(5);
  return range;
}

Result<std::vector<KeyAssignment>> DecodeRanges(const json::array& items) {
  std::vector<KeyAssignment> ranges;
  KeyNumber next = 0;
  for (const json::value& item : items) {
    BOOST_OUTCOME_TRY(KeyAssignment range, DecodeRange(item));
    if (range.first != next) {
      return Corrupt("ranges overlap or leave a gap");
    }
    next = range.last + 1;
    ranges.push_back(std::move(range));
  }
  if (next != kLastKey + 1) {
    return Corrupt("the ranges do not cover all keys");
  }
  return ranges;
}

Result<KeyTable> DecodeTable(const json::object& object) {
  KeyTable table;
  table.lead = std::string(object.at("lead").as_string());
  table.lead_address = std::string(object.at("lead_address").as_string());
  table.term = object.at("term").to_number<std::uint64_t>();
  table.fence = object.at("fence").to_number<std::uint64_t>();
  for (const auto& [service, ranges] : object.at("services").as_object()) {
    BOOST_OUTCOME_TRY(std::vector<KeyAssignment> decoded,
                      DecodeRanges(ranges.as_array()));
    table.services.emplace(service, std::move(decoded));
  }
  return table;
}

}  // namespace

std::string EncodeKeyTable(const KeyTable& table) {
  json::object services;
  for (const auto& [service, ranges] : table.services) {
    json::array items;
    for (const KeyAssignment& range : ranges) {
      items.push_back(json::array{range.first, range.last, range.owner,
                                  range.owner_born_ms, range.fence,
                                  range.previous});
    }
    services[service] = std::move(items);
  }
  json::object object;
  object["lead"] = table.lead;
  object["lead_address"] = table.lead_address;
  object["term"] = table.term;
  object["fence"] = table.fence;
  object["services"] = std::move(services);
  return json::serialize(object);
}

Result<KeyTable> DecodeKeyTable(std::string_view text) {
  try {
    const json::value value = json::parse(json::string_view(text));
    return DecodeTable(value.as_object());
  } catch (const std::exception& error) {
    return Corrupt(error.what());
  }
}

}  // namespace snipehall
