#include "protocol/target_protocol.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>
#include <vector>

#include "protocol/json_fields.h"
#include "state/hash_range.h"

namespace snipehall {

namespace {

boost::json::array EncodeRanges(const std::vector<LeasedRange>& ranges) {
  boost::json::array array;
  array.reserve(ranges.size());
  for (const LeasedRange& leased : ranges) {
    array.push_back(boost::json::object{{"start", ToHex(leased.range.first)},
                                        {"end", ToHex(leased.range.last)},
                                        {"token", ToHex(leased.token)}});
  }
  return array;
}

std::vector<LeasedRange> DecodeRanges(const boost::json::array& array,
                                      const std::string& pointer,
                                      std::optional<Error>* error) {
  std::vector<LeasedRange> ranges;
  ranges.reserve(array.size());
  for (const boost::json::value& entry : array) {
    JsonFields fields(entry, pointer + "/" + std::to_string(ranges.size()),
                      error);
    fields.RejectOthers({"start", "end", "token"});
    LeasedRange leased;
    leased.range.first = fields.Hex("start");
    leased.range.last = fields.Hex("end");
    leased.token = fields.Hex("token");
    if (leased.range.last < leased.range.first) {
      fields.Reject("end", "a hash not below start");
    }
    ranges.push_back(leased);
  }
  return ranges;
}

}  // namespace

std::string EncodeLeaseOrder(const LeaseOrder& order) {
  boost::json::object object{{"incarnation", ToHex(order.incarnation)},
                             {"set", order.assignment_version},
                             {"deadline_ms", order.deadline_ms}};
  if (order.ranges.has_value()) {
    object["ranges"] = EncodeRanges(*order.ranges);
  }
  return boost::json::serialize(object);
}

Result<LeaseOrder> DecodeLeaseOrder(std::string_view json) {
  const Result<boost::json::value> document = ParseJson(json);
  if (!document.has_value()) {
    return document.error();
  }
  std::optional<Error> error;
  JsonFields fields(document.value(), "", &error);
  fields.RejectOthers({"incarnation", "set", "deadline_ms", "ranges"});
  LeaseOrder order;
  order.incarnation = fields.Hex("incarnation");
  order.assignment_version = fields.Unsigned("set");
  order.deadline_ms = fields.Signed("deadline_ms", 0);
  if (fields.Has("ranges")) {
    order.ranges = DecodeRanges(fields.Array("ranges"),
                                fields.PointerTo("ranges"), &error);
  }
  if (error.has_value()) {
    return *std::move(error);
  }
  return order;
}

std::string EncodeLeaseAnswer(const LeaseAnswer& answer) {
  return boost::json::serialize(boost::json::object{
      {"incarnation", ToHex(answer.incarnation)},
      {"clock_ms", answer.clock_ms},
      {"set", answer.assignment_version},
      {"deadline_ms", answer.deadline_ms},
      {"outstanding", answer.outstanding},
      {"leaving_ranges_in_progress", answer.revoked_ranges_in_progress},
      {"slots", answer.slots},
      {"load", answer.load}});
}

Result<LeaseAnswer> DecodeLeaseAnswer(std::string_view json) {
  const Result<boost::json::value> document = ParseJson(json);
  if (!document.has_value()) {
    return document.error();
  }
  std::optional<Error> error;
  JsonFields fields(document.value(), "", &error);
  LeaseAnswer answer;
  answer.incarnation = fields.Hex("incarnation");
  answer.clock_ms = fields.Signed("clock_ms", 0);
  answer.assignment_version = fields.Unsigned("set");
  answer.deadline_ms = fields.Signed("deadline_ms", 0);
  answer.outstanding = fields.Count("outstanding");
  answer.revoked_ranges_in_progress =
      fields.Count("leaving_ranges_in_progress");
  answer.slots = fields.Count("slots");
  answer.load = fields.Number("load");
  if (error.has_value()) {
    return *std::move(error);
  }
  return answer;
}

}  // namespace snipehall
