#include "protocol/record_codec.h"

#include <rapidcheck.h>
#include <boost/json.hpp>

#include <fstream>
#include <sstream>

#include "protocol/json_schema.h"
#include "protocol/schemas.h"
#include "support/configuration_generator.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

namespace json = boost::json;

// Draws ASCII text with control characters, so that escaping is exercised.
std::string DrawText() {
  return *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
}

std::vector<std::string> DrawTexts() {
  std::vector<std::string> texts(*rc::gen::inRange<std::size_t>(0, 4));
  for (std::string& text : texts) {
    text = DrawText();
  }
  return texts;
}

HashRange DrawRange() {
  return {*rc::gen::arbitrary<std::uint64_t>(),
          *rc::gen::arbitrary<std::uint64_t>()};
}

// Draws offsets from the whole range of the type: a token above 2^63 must not
// change, although it does not fit a signed integer.
LogOffset DrawOffset() {
  return *rc::gen::oneOf(rc::gen::arbitrary<LogOffset>(),
                         rc::gen::just<LogOffset>(UINT64_MAX),
                         rc::gen::inRange<LogOffset>(0, 100));
}

SnapshotRecord DrawSnapshot() {
  SnapshotRecord snapshot;
  snapshot.covers = DrawOffset();
  for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
    snapshot.history.push_back({DrawOffset(), DrawText(), DrawText(),
                                *rc::gen::arbitrary<std::int64_t>(),
                                testing::DrawConfiguration()});
  }
  for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
    ServiceAssignment assignment{DrawText(), DrawOffset(), {}};
    for (int j = *rc::gen::inRange(0, 3); j > 0; --j) {
      assignment.ranges.push_back(
          {DrawRange(), DrawText(), DrawText(), DrawOffset(), DrawTexts()});
    }
    snapshot.assignments.push_back(std::move(assignment));
  }
  for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
    snapshot.groups.push_back(
        {DrawText(), DrawOffset(), DrawTexts(), DrawTexts()});
  }
  return snapshot;
}

Record DrawRecord() {
  Record record{DrawText(), DrawText(), DrawOffset(), {}};
  switch (*rc::gen::inRange(0, 4)) {
    case 0:
      record.body =
          ConfigurationRecord{testing::DrawConfiguration(), DrawText(),
                              *rc::gen::arbitrary<std::int64_t>()};
      break;
    case 1: {
      AssignmentRecord body{DrawText(), {}};
      for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        body.changes.push_back({DrawRange(), DrawText(), DrawText()});
      }
      record.body = std::move(body);
      break;
    }
    case 2:
      record.body = MembersRecord{DrawText(), DrawTexts()};
      break;
    default:
      record.body = DrawSnapshot();
  }
  return record;
}

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path);
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

std::string Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of('\n');
  const std::size_t last = text.find_last_not_of('\n');
  return first == std::string_view::npos
             ? std::string()
             : std::string(text.substr(first, last - first + 1));
}

// A minimal document with one keyed service.
constexpr std::string_view kMinimalDocument = R"({
  "zones": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
  "services": [{"name": "s", "keyed": true, "default_class": "c",
                "classes": [{"name": "c"}]}]})";

// Replaces `from` by `to` in kMinimalDocument. Returns the error, of which
// there must be exactly one.
Error OnlyError(std::string_view from, std::string_view to) {
  std::string text(kMinimalDocument);
  const std::size_t position = text.find(from);
  cr_assert_neq(position, std::string::npos);
  text.replace(position, from.size(), to);
  Configuration configuration;
  const auto errors = ParseConfiguration(text, configuration);
  cr_assert_eq(errors.size(), 1U, "%zu errors for %s", errors.size(),
               text.c_str());
  cr_assert(configuration == Configuration{});
  return errors.front();
}

// Checks pointer, value and allowed values of the error that the replacement
// causes.
void ExpectError(std::string_view from,
                 std::string_view to,
                 const char* pointer,
                 const char* value,
                 const char* allowed) {
  const Error error = OnlyError(from, to);
  cr_assert_str_eq(error.pointer.c_str(), pointer);
  cr_assert_str_eq(error.value.c_str(), value);
  cr_assert_str_eq(error.allowed.c_str(), allowed);
}

}  // namespace

// Guards against a record that is altered by encoding and decoding.
Test(record_codec, records_round_trip) {
  cr_assert(rc::check("DecodeRecord(EncodeRecord(r)) == r", [] {
    const Record record = DrawRecord();
    const auto decoded = DecodeRecord(EncodeRecord(record));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value() == record);
  }));
}

// Guards against states that differ between instances: every instance must
// refuse a record with a JSON member that is missing, unknown or of another
// type.
Test(record_codec, records_of_another_shape_are_refused) {
  cr_assert(rc::check("a record with a changed member is refused", [] {
    json::object object = json::parse(EncodeRecord(DrawRecord())).as_object();
    auto* member =
        object.begin() + *rc::gen::inRange<std::size_t>(0, object.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        object.erase(member);
        break;
      case 1:
        object["extra"] = 1;
        break;
      case 2:
        member->value() = nullptr;
        break;
      default:
        object["based_on"] = 1.5;
    }
    const auto decoded = DecodeRecord(json::serialize(object));
    RC_ASSERT(!decoded.has_value());
    RC_ASSERT(decoded.error().code == ErrorCode::kCorrupt);
  }));
}

// Guards against text in the log that terminates the process that reads it.
Test(record_codec, text_that_is_not_a_record_is_refused) {
  for (
      const char* text :
      {"", "{", "[]", "null", "{}", "\"x\"", "{\"kind\":\"other\"}",
       R"({"id":"1","kind":"members","author":"a","based_on":-1,"group":"g","members":[]})",
       R"({"id":"1","kind":"members","author":"a","based_on":1,"group":"g","members":[]} x)"}) {
    const auto decoded = DecodeRecord(text);
    cr_assert_not(decoded.has_value(), "accepted %s", text);
    cr_assert_eq(decoded.error().code, ErrorCode::kCorrupt);
  }
}

// Guards against a record with an invalid configuration, which would otherwise
// come into force when the record is applied.
Test(record_codec, record_with_an_invalid_configuration_is_refused) {
  Configuration configuration;
  configuration.plans = {{PlanKind::kDrain, "t"}, {PlanKind::kDrain, "t"}};
  const Record record{"1", "a", 0, ConfigurationRecord{configuration, "", 0}};
  cr_assert_eq(DecodeRecord(EncodeRecord(record)).error().code,
               ErrorCode::kCorrupt);
}

// Guards against a canonical form that depends on the formatting of the input:
// operators would then be shown differences that are not real.
Test(record_codec, configurations_round_trip) {
  cr_assert(rc::check("ParseConfiguration(EncodeConfiguration(c)) == c", [] {
    const Configuration configuration = testing::DrawConfiguration();
    Configuration parsed;
    const std::string text = EncodeConfiguration(configuration);
    RC_ASSERT(ParseConfiguration(text, parsed).empty());
    RC_ASSERT(parsed == configuration);
    RC_ASSERT(EncodeConfiguration(parsed) == text);
  }));
}

// Guards against a keyed service whose hashes belong to no zone because the
// document omits its key ranges.
Test(record_codec, omitted_key_ranges_are_equal) {
  Configuration configuration;
  cr_assert(ParseConfiguration(kMinimalDocument, configuration).empty());
  const auto& ranges = configuration.services.at(0).key_ranges;
  cr_assert_eq(ranges.size(), 2U);
  cr_assert(ranges[0] == (KeyRangeConfig{{0, 0x7fffffffffffffff}, "a"}));
  cr_assert(ranges[1] ==
            (KeyRangeConfig{{0x8000000000000000, UINT64_MAX}, "b"}));
}

// Guards against schema errors from which an operator cannot tell the invalid
// field and its allowed values.
Test(record_codec, schema_errors_have_pointer_value_and_allowed) {
  ExpectError("\"keyed\": true", "\"keyed\": 1", "/services/0/keyed", "1",
              "true or false");
  ExpectError("{\"name\": \"c\"}", "{\"name\": \"c\", \"queue_limit\": -1}",
              "/services/0/classes/0/queue_limit", "-1",
              "integer from 0 to 100000");
  ExpectError("{\"name\": \"c\"}", "{\"name\": \"c\", \"deadline\": 5}",
              "/services/0/classes/0/deadline", "5",
              "one of the fields name, default_deadline_ms, "
              "reserved_slots_percent, queue_limit");
  ExpectError("\"region\": \"r\"}", "\"~/x\": 2, \"region\": \"r\"}",
              "/zones/0/~0~1x", "2", "one of the fields name, region");
  ExpectError(", \"default_class\": \"c\"", "", "/services/0/default_class",
              "absent", "text of 1 to 64 characters");
  ExpectError("[{\"name\": \"c\"}]", "[]", "/services/0/classes", "[]",
              "list of 1 to 64 entries");
  ExpectError("\"keyed\": true", R"("on_isolation": {"mode": "never"})",
              "/services/0/on_isolation/mode", "never",
              R"(one of ["wait","move_after"])");
}

// Guards against the same fault in errors of rules that the schema cannot
// express.
Test(record_codec, invalid_combinations_are_refused) {
  ExpectError("\"keyed\": true", R"("on_isolation": {"mode": "move_after"})",
              "/services/0/on_isolation/after_s", "absent",
              "integer from 1 to 86400");
  ExpectError("\"keyed\": true",
              R"("on_isolation": {"mode": "wait", "after_s": 3})",
              "/services/0/on_isolation/after_s", "3",
              "absent, or the mode move_after");
  ExpectError("\"keyed\": true",
              R"("keyed": true, "key_ranges": [
                {"first": "000000000000000g", "last": "ffffffffffffffff",
                 "zone": "a"}])",
              "/services/0/key_ranges/0/first", "000000000000000g",
              "16 hexadecimal digits");
}

// Guards against validation that stops at the first error: an operator would
// have to correct one field per attempt.
Test(record_codec, all_errors_are_reported) {
  Configuration configuration;
  const auto errors = ParseConfiguration(
      R"({"zones": [{"name": 1, "region": ""}], "services": 3, "x": 0})",
      configuration);
  cr_assert_eq(errors.size(), 4U);
}

// Guards against a program that validates against another schema than the
// published one.
Test(record_codec, compiled_schemas_equal_the_files) {
  const std::string directory = SNIPEHALL_SOURCE_DIR "/docs/schema/";
  cr_assert(Trim(kConfigurationSchema) ==
            Trim(ReadFile(directory + "configuration.json")));
  cr_assert(Trim(kSettingsSchema) ==
            Trim(ReadFile(directory + "settings.json")));
}

}  // namespace snipehall
