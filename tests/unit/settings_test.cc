#include "protocol/settings.h"

#include <boost/json.hpp>
#include <fstream>

#include <criterion/criterion.h>

namespace snipehall {
namespace {

namespace json = boost::json;

json::object MakeValid() {
  return {{"instance", "entry-1"},
          {"zone", "ridge-north"},
          {"caller_address", "127.0.0.1:0"},
          {"peer_address", "127.0.0.1:0"},
          {"log_address", "127.0.0.1:7000"},
          {"instance_list_address", "[::1]:7001"}};
}

// Checks that the settings are refused with an error at `pointer` that states
// `value` and the allowed values.
void ExpectRefused(const json::object& object,
                   const char* pointer,
                   const char* value) {
  const auto parsed = ParseSettings(json::serialize(object));
  cr_assert_not(parsed.has_value(), "settings with an invalid %s were accepted",
                pointer);
  cr_assert_str_eq(parsed.error().pointer.c_str(), pointer);
  cr_assert_str_eq(parsed.error().value.c_str(), value);
  cr_assert_not(parsed.error().allowed.empty());
}

// Does the same for otherwise valid settings in which one field is replaced.
void ExpectRefused(std::string_view name,
                   const json::value& field,
                   const char* value) {
  json::object object = MakeValid();
  object[name] = field;
  ExpectRefused(object, ("/" + std::string(name)).c_str(), value);
}

}  // namespace

// Guards against defaults that differ from those of the schema.
Test(settings, omitted_fields_have_defaults) {
  const auto parsed = ParseSettings(json::serialize(MakeValid()));
  cr_assert(parsed.has_value());
  cr_assert_str_eq(parsed.value().admin_address.c_str(), "127.0.0.1:0");
  cr_assert(parsed.value().admin_token_file.empty());
  cr_assert_eq(parsed.value().shutdown_timeout.count(), 600000);
}

// Guards against fields that the schema accepts but that are not stored.
Test(settings, all_fields_are_read) {
  json::object object = MakeValid();
  object["admin_address"] = "0.0.0.0:9000";
  object["admin_token_file"] = "token";
  object["addresses_file"] = "addresses";
  object["shutdown_limit_ms"] = 1500;
  const Settings settings = ParseSettings(json::serialize(object)).value();
  cr_assert_str_eq(settings.instance.c_str(), "entry-1");
  cr_assert_str_eq(settings.zone.c_str(), "ridge-north");
  cr_assert_str_eq(settings.instance_list_address.c_str(), "[::1]:7001");
  cr_assert_str_eq(settings.admin_address.c_str(), "0.0.0.0:9000");
  cr_assert_str_eq(settings.admin_token_file.c_str(), "token");
  cr_assert_str_eq(settings.addresses_file.c_str(), "addresses");
  cr_assert_eq(settings.shutdown_timeout.count(), 1500);
}

// Guards against a daemon that starts although a field is misspelt, has another
// unit or holds a malformed value.
Test(settings, malformed_fields_are_refused) {
  ExpectRefused("shutdown_limit_s", 5, "5");
  ExpectRefused("shutdown_limit_ms", "5s", "5s");
  ExpectRefused("shutdown_limit_ms", 1.5, "1.5E0");
  ExpectRefused("shutdown_limit_ms", 3600001, "3600001");
  ExpectRefused("instance", "", "");
  for (const char* address :
       {"127.0.0.1", "localhost:1", "127.0.0.1:", "127.0.0.1:65536", "::1:1",
        "127.0.0.1:+1", "[127.0.0.1:1", "127.0.0.1:1 "}) {
    ExpectRefused("caller_address", address, address);
  }
  json::object object = MakeValid();
  object.erase("zone");
  ExpectRefused(object, "/zone", "absent");
}

// Guards against settings that are valid separately but not in combination.
Test(settings, invalid_combinations_are_refused) {
  ExpectRefused("log_address", "127.0.0.1:0", "127.0.0.1:0");
  ExpectRefused("admin_address", "0.0.0.0:9000", "0.0.0.0:9000");
  json::object object = MakeValid();
  object["caller_address"] = "127.0.0.1:8000";
  object["peer_address"] = "127.0.0.1:8000";
  ExpectRefused(object, "/peer_address", "127.0.0.1:8000");
}

// Guards against loading a settings file that is missing, oversized or
// malformed.
Test(settings, files_are_checked) {
  cr_assert_eq(LoadSettings("no-such-file").error().code, ErrorCode::kNotFound);
  char name[] = "/tmp/settings_test_XXXXXX";
  const int descriptor = mkstemp(name);
  cr_assert_geq(descriptor, 0);
  close(descriptor);
  std::ofstream(name) << json::serialize(MakeValid());
  cr_assert(LoadSettings(name).has_value());
  std::ofstream(name) << std::string(70000, ' ');
  cr_assert_eq(LoadSettings(name).error().code, ErrorCode::kInvalidArgument);
  std::filesystem::remove(name);
}

}  // namespace snipehall
