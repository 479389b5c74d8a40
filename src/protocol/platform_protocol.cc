#include "protocol/platform_protocol.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <optional>
#include <utility>

#include "protocol/json_fields.h"

namespace snipehall {

namespace {

constexpr std::string_view kEntryRole = "entry";
constexpr std::string_view kTargetRole = "target";
constexpr std::string_view kLiveState = "live";
constexpr std::string_view kLeavingState = "leaving";

// Decodes the records of a response. Checks that the offsets increase, because
// their order is used to detect a gap.
std::vector<RawLogRecord> DecodeRecords(const boost::json::array& array,
                                        LogOffset end,
                                        std::optional<Error>* error) {
  std::vector<RawLogRecord> records;
  records.reserve(array.size());
  LogOffset previous = 0;
  for (const boost::json::value& entry : array) {
    JsonFields fields(entry, "/records/" + std::to_string(records.size()),
                      error);
    RawLogRecord record;
    record.offset = fields.Unsigned("offset");
    record.data = fields.String("data");
    if (record.offset <= previous || record.offset >= end) {
      fields.Reject("offset", "an offset above the previous one and below end");
    }
    previous = record.offset;
    records.push_back(std::move(record));
  }
  return records;
}

PlatformInstance DecodeInstance(JsonFields fields) {
  PlatformInstance instance;
  instance.id = fields.NonEmptyString("id");
  const std::string role = fields.String("role");
  if (role == kEntryRole) {
    instance.role = PlatformRole::kEntry;
  } else if (role != kTargetRole) {
    fields.Reject("role", "\"entry\" or \"target\"");
  }
  instance.service = fields.String("service");
  if (instance.role == PlatformRole::kTarget && instance.service.empty()) {
    fields.Reject("service", "the service of the target");
  }
  instance.zone = fields.NonEmptyString("zone");
  instance.address = fields.NonEmptyString("address");
  const std::string state = fields.String("state");
  instance.leaving = state == kLeavingState;
  if (!instance.leaving && state != kLiveState) {
    fields.Reject("state", "\"live\" or \"leaving\"");
  }
  return instance;
}

}  // namespace

std::string EncodeLogRead(const RawLogRead& read) {
  boost::json::array records;
  records.reserve(read.records.size());
  for (const RawLogRecord& record : read.records) {
    records.push_back(
        boost::json::object{{"offset", record.offset}, {"data", record.data}});
  }
  return boost::json::serialize(
      boost::json::object{{"first", read.first},
                          {"end", read.end},
                          {"records", std::move(records)}});
}

Result<RawLogRead> DecodeLogRead(std::string_view json) {
  const Result<boost::json::value> document = ParseJson(json);
  if (!document.has_value()) {
    return document.error();
  }
  std::optional<Error> error;
  JsonFields fields(document.value(), "", &error);
  RawLogRead read;
  read.first = fields.Unsigned("first");
  read.end = fields.Unsigned("end");
  if (read.first == 0) {
    fields.Reject("first", "an offset not below 1");
  }
  if (read.end < read.first) {
    fields.Reject("end", "an offset not below first");
  }
  read.records = DecodeRecords(fields.Array("records"), read.end, &error);
  if (error.has_value()) {
    return *std::move(error);
  }
  return read;
}

std::string EncodeInstanceList(std::span<const PlatformInstance> instances) {
  boost::json::array array;
  array.reserve(instances.size());
  for (const PlatformInstance& instance : instances) {
    array.push_back(boost::json::object{
        {"id", instance.id},
        {"role",
         instance.role == PlatformRole::kEntry ? kEntryRole : kTargetRole},
        {"service", instance.service},
        {"zone", instance.zone},
        {"address", instance.address},
        {"state", instance.leaving ? kLeavingState : kLiveState}});
  }
  return boost::json::serialize(
      boost::json::object{{"instances", std::move(array)}});
}

Result<std::vector<PlatformInstance>> DecodeInstanceList(
    std::string_view json) {
  const Result<boost::json::value> document = ParseJson(json);
  if (!document.has_value()) {
    return document.error();
  }
  std::optional<Error> error;
  JsonFields fields(document.value(), "", &error);
  std::vector<PlatformInstance> instances;
  for (const boost::json::value& entry : fields.Array("instances")) {
    const std::string pointer =
        "/instances/" + std::to_string(instances.size());
    instances.push_back(DecodeInstance(JsonFields(entry, pointer, &error)));
  }
  if (error.has_value()) {
    return *std::move(error);
  }
  return instances;
}

}  // namespace snipehall
