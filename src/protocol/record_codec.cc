#include "protocol/record_codec.h"

#include <boost/json.hpp>
#include <stdexcept>

#include "protocol/configuration_codec.h"
#include "protocol/json_schema.h"

namespace snipehall {

namespace json = boost::json;

namespace {

// Thrown by the functions below for an invalid record; DecodeRecord() converts
// it to kCorrupt.
class CorruptRecord : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

json::array EncodeStrings(const std::vector<std::string>& texts) {
  json::array array;
  for (const std::string& text : texts) {
    array.emplace_back(text);
  }
  return array;
}

// Adds the members of a record's body to the record's object.
class BodyEncoder {
 public:
  explicit BodyEncoder(json::object& object) : m_object(object) {}

  void operator()(const ConfigurationRecord& body) const {
    m_object["reason"] = body.reason;
    m_object["time_ms"] = body.time_ms;
    m_object["configuration"] = ConfigurationToJson(body.configuration);
  }

  void operator()(const AssignmentRecord& body) const {
    json::array changes;
    for (const OwnerChange& change : body.changes) {
      changes.push_back(json::object{{"first", ToHex(change.range.first)},
                                     {"last", ToHex(change.range.last)},
                                     {"owner", change.owner},
                                     {"group", change.group}});
    }
    m_object["service"] = body.service;
    m_object["changes"] = std::move(changes);
  }

  void operator()(const MembersRecord& body) const {
    m_object["group"] = body.group;
    m_object["members"] = EncodeStrings(body.members);
  }

  void operator()(const SnapshotRecord& body) const {
    json::array history;
    for (const ConfigurationEntry& entry : body.history) {
      history.push_back(json::object{
          {"offset", entry.offset},
          {"author", entry.author},
          {"reason", entry.reason},
          {"time_ms", entry.time_ms},
          {"configuration", ConfigurationToJson(entry.configuration)}});
    }
    json::array assignments;
    for (const ServiceAssignment& entry : body.assignments) {
      assignments.push_back(EncodeAssignment(entry));
    }
    json::array groups;
    for (const GroupMembers& entry : body.groups) {
      groups.push_back(json::object{
          {"group", entry.group},
          {"version", entry.version},
          {"members", EncodeStrings(entry.members)},
          {"previous_members", EncodeStrings(entry.previous_members)}});
    }
    m_object["covers"] = body.covers;
    m_object["history"] = std::move(history);
    m_object["assignments"] = std::move(assignments);
    m_object["groups"] = std::move(groups);
  }

 private:
  static json::object EncodeAssignment(const ServiceAssignment& assignment) {
    json::array ranges;
    for (const OwnedRange& entry : assignment.ranges) {
      ranges.push_back(
          json::object{{"first", ToHex(entry.range.first)},
                       {"last", ToHex(entry.range.last)},
                       {"owner", entry.owner},
                       {"group", entry.group},
                       {"token", entry.token},
                       {"former_groups", EncodeStrings(entry.former_groups)}});
    }
    return {{"service", assignment.service},
            {"version", assignment.version},
            {"ranges", std::move(ranges)}};
  }

  json::object& m_object;
};

std::string_view KindName(const Record& record) {
  constexpr std::string_view kKinds[] = {"configuration", "assignment",
                                         "members", "snapshot"};
  return kKinds[record.body.index()];
}

json::object RecordToJson(const Record& record) {
  json::object object{{"id", record.id},
                      {"kind", KindName(record)},
                      {"author", record.author},
                      {"based_on", record.based_on}};
  std::visit(BodyEncoder(object), record.body);
  return object;
}

std::string GetString(const json::object& object, std::string_view name) {
  return std::string(object.at(name).as_string());
}

template <typename T>
T GetNumber(const json::object& object, std::string_view name) {
  return object.at(name).to_number<T>();
}

std::vector<std::string> GetStrings(const json::object& object,
                                    std::string_view name) {
  std::vector<std::string> texts;
  for (const json::value& value : object.at(name).as_array()) {
    texts.emplace_back(value.as_string());
  }
  return texts;
}

HashRange DecodeRange(const json::object& object) {
  return {ParseHex(object.at("first").as_string()).value(),
          ParseHex(object.at("last").as_string()).value()};
}

// Decodes each object of the array `name`.
template <typename Decode>
auto DecodeList(const json::object& object,
                std::string_view name,
                Decode decode) {
  std::vector<decltype(decode(object))> entries;
  for (const json::value& value : object.at(name).as_array()) {
    entries.push_back(decode(value.as_object()));
  }
  return entries;
}

Configuration DecodeConfiguration(const json::object& object) {
  Configuration configuration;
  const std::vector<Error> errors =
      ConfigurationFromJson(object.at("configuration"), configuration);
  if (!errors.empty()) {
    const Error& error = errors.front();
    throw CorruptRecord(error.message + " at /configuration" + error.pointer +
                        ": " + error.value);
  }
  return configuration;
}

ServiceAssignment DecodeAssignment(const json::object& object) {
  return {GetString(object, "service"), GetNumber<LogOffset>(object, "version"),
          DecodeList(object, "ranges", [](const json::object& entry) {
            return OwnedRange{DecodeRange(entry), GetString(entry, "owner"),
                              GetString(entry, "group"),
                              GetNumber<LogOffset>(entry, "token"),
                              GetStrings(entry, "former_groups")};
          })};
}

SnapshotRecord DecodeSnapshot(const json::object& object) {
  SnapshotRecord snapshot;
  snapshot.covers = GetNumber<LogOffset>(object, "covers");
  snapshot.history =
      DecodeList(object, "history", [](const json::object& entry) {
        return ConfigurationEntry{GetNumber<LogOffset>(entry, "offset"),
                                  GetString(entry, "author"),
                                  GetString(entry, "reason"),
                                  GetNumber<std::int64_t>(entry, "time_ms"),
                                  DecodeConfiguration(entry)};
      });
  snapshot.assignments = DecodeList(object, "assignments", DecodeAssignment);
  snapshot.groups = DecodeList(object, "groups", [](const json::object& entry) {
    return GroupMembers{
        GetString(entry, "group"), GetNumber<LogOffset>(entry, "version"),
        GetStrings(entry, "members"), GetStrings(entry, "previous_members")};
  });
  return snapshot;
}

Record DecodeObject(const json::object& object) {
  Record record;
  record.id = GetString(object, "id");
  record.author = GetString(object, "author");
  record.based_on = GetNumber<LogOffset>(object, "based_on");
  const std::string kind = GetString(object, "kind");
  if (kind == "configuration") {
    record.body = ConfigurationRecord{
        DecodeConfiguration(object), GetString(object, "reason"),
        GetNumber<std::int64_t>(object, "time_ms")};
  } else if (kind == "assignment") {
    record.body = AssignmentRecord{
        GetString(object, "service"),
        DecodeList(object, "changes", [](const json::object& entry) {
          return OwnerChange{DecodeRange(entry), GetString(entry, "owner"),
                             GetString(entry, "group")};
        })};
  } else if (kind == "members") {
    record.body = MembersRecord{GetString(object, "group"),
                                GetStrings(object, "members")};
  } else if (kind == "snapshot") {
    record.body = DecodeSnapshot(object);
  } else {
    throw CorruptRecord("unknown kind of record: " + kind);
  }
  return record;
}

}  // namespace

std::string EncodeRecord(const Record& record) {
  return json::serialize(RecordToJson(record));
}

Result<Record> DecodeRecord(std::string_view text) {
  const Result<json::value> value = ParseJson(text);
  if (!value) {
    return Fail(ErrorCode::kCorrupt, value.error().message);
  }
  try {
    Record record = DecodeObject(value.value().as_object());
    // Rejects unknown members and other forms of a value: they would be dropped
    // silently, and two versions of the program could then apply a record
    // differently.
    if (json::value(RecordToJson(record)) != value.value()) {
      return Fail(ErrorCode::kCorrupt, "the record is not in canonical form");
    }
    return record;
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kCorrupt, error.what());
  }
}

std::string EncodeConfiguration(const Configuration& configuration) {
  return json::serialize(ConfigurationToJson(configuration));
}

std::vector<Error> ParseConfiguration(std::string_view json,
                                      Configuration& configuration) {
  const Result<json::value> value = ParseJson(json);
  if (!value) {
    return {value.error()};
  }
  return ConfigurationFromJson(value.value(), configuration);
}

}  // namespace snipehall
