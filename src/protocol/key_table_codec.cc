#include "protocol/key_table_codec.h"

#include <boost/json.hpp>
#include <boost/outcome/try.hpp>
#include <map>
#include <span>
#include <tuple>
#include <vector>

namespace snipehall {

namespace {

namespace json = boost::json;

auto Corrupt(const std::string& message) {
  return Fail(ErrorCode::kCorrupt, "key table: " + message);
}

// A process of a target. Encoded ranges refer to it by its index in a list.
struct TargetProcess {
  TargetId id;
  std::int64_t start_ms = 0;

  bool operator<(const TargetProcess& other) const {
    return std::tie(id, start_ms) < std::tie(other.id, other.start_ms);
  }
};

// Assigns each process an index in the encoded list.
class TargetIndex {
 public:
  // Returns the index of a process, which is added if it is not in the list.
  std::size_t FindOrAdd(const TargetId& id, std::int64_t start_ms) {
    const auto [found, added] =
        m_indexes.try_emplace(TargetProcess{id, start_ms}, m_indexes.size());
    if (added) {
      m_targets.push_back(json::array{id, start_ms});
    }
    return found->second;
  }
  json::array TakeTargets() { return std::move(m_targets); }

 private:
  std::map<TargetProcess, std::size_t> m_indexes;
  json::array m_targets;
};

Result<std::vector<TargetProcess>> DecodeTargets(const json::array& items) {
  std::vector<TargetProcess> targets;
  for (const json::value& item : items) {
    const json::array& target = item.as_array();
    targets.push_back({std::string(target.at(0).as_string()),
                       target.at(1).to_number<std::int64_t>()});
  }
  return targets;
}

// Decodes [first, owner, token] or [first, owner, token, previous owner]; the
// owners are indexes into the list of targets.
Result<KeyAssignment> DecodeRange(const json::array& items,
                                  std::span<const TargetProcess> targets) {
  if (items.size() != 3 && items.size() != 4) {
    return Corrupt("a range is not an array of 3 or 4 elements");
  }
  const auto number = [&items](std::size_t index) {
    return items.at(index).to_number<std::uint64_t>();
  };
  const std::uint64_t first = number(0);
  const std::uint64_t owner = number(1);
  const std::uint64_t previous = items.size() > 3 ? number(3) : owner;
  if (first > kLastKey || owner >= targets.size() ||
      previous >= targets.size()) {
    return Corrupt("a range has a key or an owner out of bounds");
  }
  KeyAssignment range;
  range.first = static_cast<KeyNumber>(first);
  range.owner = targets[owner].id;
  range.owner_start_time_ms = targets[owner].start_ms;
  range.fencing_token = number(2);
  if (items.size() > 3) {
    range.previous_owner = targets[previous].id;
  }
  return range;
}

// Decodes the ranges of a service. Each range ends before the next one begins.
Result<std::vector<KeyAssignment>> DecodeRanges(
    const json::array& items,
    std::span<const TargetProcess> targets) {
  std::vector<KeyAssignment> ranges;
  for (const json::value& item : items) {
    BOOST_OUTCOME_TRY(KeyAssignment range,
                      DecodeRange(item.as_array(), targets));
    if (ranges.empty() ? range.first != 0
                       : range.first <= ranges.back().first) {
      return Corrupt("the ranges are not in ascending order from key 0");
    }
    if (!ranges.empty()) {
      ranges.back().last = range.first - 1;
    }
    ranges.push_back(std::move(range));
  }
  if (ranges.empty()) {
    return Corrupt("a service has no ranges");
  }
  ranges.back().last = kLastKey;
  return ranges;
}

Result<KeyTable> DecodeTable(const json::object& object) {
  KeyTable table;
  table.leader = std::string(object.at("lead").as_string());
  table.leader_address = std::string(object.at("lead_address").as_string());
  table.term = object.at("term").to_number<std::uint64_t>();
  table.fencing_token = object.at("fence").to_number<std::uint64_t>();
  // Earlier builds do not write the incarnation and the era.
  if (const json::value* incarnation = object.if_contains("lead_incarnation")) {
    table.leader_incarnation = incarnation->to_number<Incarnation>();
  }
  if (const json::value* era = object.if_contains("era")) {
    table.era = era->to_number<LogEra>();
  }
  if (const json::value* unknown = object.if_contains("owners_unknown")) {
    table.owners_unknown = unknown->as_bool();
  }
  BOOST_OUTCOME_TRY(const std::vector<TargetProcess> targets,
                    DecodeTargets(object.at("targets").as_array()));
  for (const auto& [service, ranges] : object.at("services").as_object()) {
    BOOST_OUTCOME_TRY(std::vector<KeyAssignment> decoded,
                      DecodeRanges(ranges.as_array(), targets));
    table.services.emplace(service, std::move(decoded));
  }
  return table;
}

}  // namespace

std::string EncodeKeyTable(const KeyTable& table) {
  TargetIndex targets;
  json::object services;
  for (const auto& [service, ranges] : table.services) {
    json::array items;
    for (const KeyAssignment& range : ranges) {
      json::array item = {
          range.first,
          targets.FindOrAdd(range.owner, range.owner_start_time_ms),
          range.fencing_token};
      if (range.moving()) {
        item.push_back(targets.FindOrAdd(range.previous_owner, 0));
      }
      items.push_back(std::move(item));
    }
    services[service] = std::move(items);
  }
  json::object object;
  object["lead"] = table.leader;
  object["lead_address"] = table.leader_address;
  if (table.leader_incarnation != 0) {
    object["lead_incarnation"] = table.leader_incarnation;
  }
  object["term"] = table.term;
  object["fence"] = table.fencing_token;
  object["era"] = table.era;
  if (table.owners_unknown) {
    object["owners_unknown"] = true;
  }
  object["targets"] = targets.TakeTargets();
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
