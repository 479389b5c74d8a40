#include <boost/json.hpp>

#include <fstream>
#include <iterator>
#include <string>

#include "protocol/error_json.h"
#include "protocol/json_difference.h"
#include "protocol/json_pretty.h"
#include "protocol/schemas.h"

#include <criterion/criterion.h>

// Tests the JSON formats for operators and the pages of documentation that
// describe settings and metrics.

namespace snipehall {
namespace {

namespace json = boost::json;

std::string ReadPage(const std::string& name) {
  std::ifstream stream(SNIPEHALL_SOURCE_DIR "/docs/" + name);
  return {std::istreambuf_iterator<char>(stream), {}};
}

std::vector<JsonDifference> Differences(std::string_view before,
                                        std::string_view after) {
  return FindDifferences(json::parse(before), json::parse(after));
}

}  // namespace

// Guards against a settings page that lacks a field of the schema or states
// another description or upper bound.
Test(documents, settings_page_has_every_field) {
  const std::string page = ReadPage("operations/settings.md");
  const json::value schema = json::parse(kSettingsSchema);
  for (const auto& entry : schema.at("properties").as_object()) {
    const std::size_t row = page.find("| `" + std::string(entry.key()) + "` |");
    cr_assert_neq(row, std::string::npos, "no row for %s",
                  std::string(entry.key()).c_str());
    const std::string line = page.substr(row, page.find('\n', row) - row);
    const std::string meaning(entry.value().at("description").as_string());
    cr_assert_neq(line.find(meaning), std::string::npos);
    for (const char* bound : {"maximum", "maxLength"}) {
      if (const auto* value = entry.value().as_object().if_contains(bound)) {
        cr_assert_neq(line.find("to " + json::serialize(*value)),
                      std::string::npos);
      }
    }
  }
}

// Guards against an alert on a metric that the metrics page does not describe.
Test(documents, alerts_use_described_metrics) {
  const std::string alerts = ReadPage("operations/alerts.yml");
  const std::string metrics = ReadPage("operations/metrics.md");
  std::size_t metric_count = 0;
  for (std::size_t at = alerts.find("snipehall_"); at != std::string::npos;
       at = alerts.find("snipehall_", at + 1)) {
    const std::size_t end =
        alerts.find_first_not_of("abcdefghijklmnopqrstuvwxyz_", at);
    const std::string name = alerts.substr(at, end - at);
    cr_assert_neq(metrics.find("`" + name + "`"), std::string::npos, "%s",
                  name.c_str());
    ++metric_count;
  }
  cr_assert_geq(metric_count, 7U);
}

// Guards against an error that is altered on the way from the daemon to the
// command-line tool.
Test(documents, errors_round_trip) {
  for (const ErrorCode code :
       {ErrorCode::kInvalidArgument, ErrorCode::kNotFound, ErrorCode::kConflict,
        ErrorCode::kUnavailable, ErrorCode::kTimeout, ErrorCode::kRefused,
        ErrorCode::kCorrupt, ErrorCode::kBusy}) {
    const Error error{code, "message", "/a/0", "1", "2"};
    cr_assert(ErrorFromJson(ErrorToJson(error)) == error);
  }
  cr_assert(ErrorFromJson(json::value(3)) ==
            (Error{ErrorCode::kUnavailable, ""}));
}

// Guards against differences that are missed or reported without a change, and
// against paths that identify named entries by their index, which shifts when
// an earlier entry is removed.
Test(documents, differences_identify_entries_by_name) {
  cr_assert(Differences("{\"a\": [1, {\"b\": 2}]}", "{\"a\": [1, {\"b\": 2}]}")
                .empty());
  const auto removed = Differences(R"({"l": [{"name": "x"}, {"name": "y"}]})",
                                   R"({"l": [{"name": "y", "v": 1}]})");
  cr_assert_eq(removed.size(), 2U);
  cr_assert(removed[0] == (JsonDifference{"/l/x", R"({"name":"x"})", ""}));
  cr_assert(removed[1] == (JsonDifference{"/l/y/v", "", "1"}));
  const auto changed = Differences(R"({"p": [{"target": "t", "kind": 1}]})",
                                   R"({"p": [{"target": "t", "kind": "2"}]})");
  cr_assert(changed ==
            (std::vector<JsonDifference>{{"/p/t/kind", "1", "\"2\""}}));
  const auto order = Differences(R"([{"name": "x"}, {"name": "y"}])",
                                 R"([{"name": "y"}, {"name": "x"}])");
  cr_assert_eq(order.size(), 1U);
}

// Guards against formatted JSON that parses to another document.
Test(documents, pretty_json_parses_to_the_same_document) {
  const json::value value = json::parse(
      R"({"a": [], "b": {}, "c\"\n": [1, {"d": "e\\"}], "f": null})");
  const std::string text = PrettyJson(value);
  cr_assert(json::parse(text) == value);
  cr_assert_eq(text.find("{\n  \"a\": [],\n  \"b\": {},"), 0U);
}

}  // namespace snipehall
