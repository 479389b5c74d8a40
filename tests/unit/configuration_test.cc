#include "state/configuration.h"

#include <algorithm>
#include <functional>

#include <criterion/criterion.h>

namespace snipehall {
namespace {

// Returns a valid document with two zones, a keyed service and an unkeyed one,
// modelled on the configuration of the first user.
Configuration MakeValid() {
  Configuration configuration;
  configuration.zones = {{"ridge-north", "prairie-west"},
                         {"valley-lodge", "prairie-west"}};
  ServiceConfig gearshelf;
  gearshelf.name = "gearshelf";
  gearshelf.keyed = true;
  gearshelf.slots_per_endpoint = 3;
  gearshelf.connections_per_endpoint = 130;
  gearshelf.default_class = "lookup";
  gearshelf.classes = {{"lookup", Milliseconds(1000), 60, 256},
                       {"photo", Milliseconds(60000), 40, 16}};
  gearshelf.key_ranges = EqualKeyRanges(configuration.zones);
  ServiceConfig holdfast = gearshelf;
  holdfast.name = "holdfast";
  holdfast.keyed = false;
  holdfast.key_ranges.clear();
  configuration.services = {gearshelf, holdfast};
  configuration.tenants = {{"shop", 3}};
  configuration.plans = {{PlanKind::kDrain, "gearshelf-1"}};
  return configuration;
}

// A modification that breaks one validation rule, and the expected error.
struct InvalidCase {
  const char* description;
  std::function<void(Configuration&)> invalidate;
  const char* pointer;
  const char* value;
  const char* allowed;
};

}  // namespace

// Guards against validation that refuses documents that are in use.
Test(configuration, valid_document_has_no_errors) {
  cr_assert(ValidateConfiguration(MakeValid()).empty());
  cr_assert(ValidateConfiguration(Configuration{}).empty());
}

// Guards against a violated rule that is not reported, and against errors that
// point to another field than the invalid one.
Test(configuration, each_violation_is_reported_at_its_field) {
  const InvalidCase cases[] = {
      {"duplicate zone",
       [](Configuration& c) { c.zones.push_back(c.zones[0]); }, "/zones/2/name",
       "ridge-north", "a name that no earlier entry of the list has"},
      {"duplicate service",
       [](Configuration& c) { c.services[1].name = "gearshelf"; },
       "/services/1/name", "gearshelf",
       "a name that no earlier entry of the list has"},
      {"duplicate class",
       [](Configuration& c) { c.services[0].classes[1].name = "lookup"; },
       "/services/0/classes/1/name", "lookup",
       "a name that no earlier entry of the list has"},
      {"duplicate tenant",
       [](Configuration& c) {
         c.tenants.push_back({"shop", 1});
       },
       "/tenants/1/name", "shop",
       "a name that no earlier entry of the list has"},
      {"duplicate plan",
       [](Configuration& c) {
         c.plans.push_back({PlanKind::kStop, "gearshelf-1"});
       },
       "/plans/1/target", "gearshelf-1",
       "a name that no earlier entry of the list has"},
      {"malformed name", [](Configuration& c) { c.zones[1].region = "a/b"; },
       "/zones/1/region", "a/b",
       "1 to 64 letters, digits, '.', '_' or '-', not '.' or '..'"},
      {"unknown zone",
       [](Configuration& c) { c.services[0].key_ranges[1].zone = "summit"; },
       "/services/0/key_ranges/1/zone", "summit",
       "one of: ridge-north, valley-lodge"},
      {"gap at the beginning",
       [](Configuration& c) { c.services[0].key_ranges[0].range.first = 1; },
       "/services/0/key_ranges/0/first", "0000000000000001",
       "0000000000000000"},
      {"gap in the middle",
       [](Configuration& c) { ++c.services[0].key_ranges[1].range.first; },
       "/services/0/key_ranges/1/first", "8000000000000001",
       "8000000000000000"},
      {"gap at the end",
       [](Configuration& c) { --c.services[0].key_ranges[1].range.last; },
       "/services/0/key_ranges/1/last", "fffffffffffffffe", "ffffffffffffffff"},
      {"overlap",
       [](Configuration& c) { --c.services[0].key_ranges[1].range.first; },
       "/services/0/key_ranges/1/first", "7fffffffffffffff",
       "8000000000000000"},
      {"range after the end of the hash space",
       [](Configuration& c) {
         c.services[0].key_ranges.push_back(
             {{UINT64_MAX, UINT64_MAX}, "ridge-north"});
       },
       "/services/0/key_ranges/2/first", "ffffffffffffffff",
       "no range after the last hash"},
      {"no ranges", [](Configuration& c) { c.services[0].key_ranges.clear(); },
       "/services/0/key_ranges", "no ranges",
       "ranges that cover the hash space"},
      {"ranges of an unkeyed service",
       [](Configuration& c) { c.services[0].keyed = false; },
       "/services/0/key_ranges", "2 ranges", "no ranges"},
      {"reserved slots above 100%",
       [](Configuration& c) {
         c.services[0].classes[1].reserved_slots_percent = 41;
       },
       "/services/0/classes/1/reserved_slots_percent", "41",
       "at most 40 after the classes before it"},
      {"more slots than connections",
       [](Configuration& c) { c.services[0].slots_per_endpoint = 131; },
       "/services/0/slots_per_endpoint", "131",
       "at most connections_per_endpoint, 130"},
      {"unknown default class",
       [](Configuration& c) { c.services[0].default_class = "upload"; },
       "/services/0/default_class", "upload", "one of: lookup, photo"},
      {"fraction of a second",
       [](Configuration& c) { c.services[0].move_after = Milliseconds(1500); },
       "/services/0/on_isolation/after_s", "1500 ms",
       "whole seconds, at least 1"},
  };
  for (const InvalidCase& entry : cases) {
    Configuration configuration = MakeValid();
    entry.invalidate(configuration);
    const std::vector<Error> errors = ValidateConfiguration(configuration);
    cr_assert_eq(errors.size(), 1U, "%s: %zu errors", entry.description,
                 errors.size());
    cr_assert_str_eq(errors[0].pointer.c_str(), entry.pointer);
    cr_assert_str_eq(errors[0].value.c_str(), entry.value);
    cr_assert_str_eq(errors[0].allowed.c_str(), entry.allowed);
  }
}

// Guards against an inverted range that is adjacent to its neighbours and so
// passes the checks for gaps and overlaps.
Test(configuration, inverted_range_is_refused) {
  Configuration configuration = MakeValid();
  configuration.services[0].key_ranges[0].range = {0, 0};
  configuration.services[0].key_ranges[1].range = {1, 0};
  const auto errors = ValidateConfiguration(configuration);
  cr_assert(std::any_of(errors.begin(), errors.end(), [](const Error& error) {
    return error.pointer == "/services/0/key_ranges/1/last" &&
           error.allowed == "at least 0000000000000001";
  }));
}

// Guards against gaps between equal ranges when the number of zones does not
// divide the size of the hash space.
Test(configuration, equal_ranges_cover_the_hash_space) {
  for (std::size_t count = 1; count <= 14; ++count) {
    Configuration configuration = MakeValid();
    configuration.zones.clear();
    for (std::size_t i = 0; i < count; ++i) {
      configuration.zones.push_back({"z" + std::to_string(i), "r"});
    }
    configuration.services[0].key_ranges = EqualKeyRanges(configuration.zones);
    cr_assert(ValidateConfiguration(configuration).empty(), "%zu zones", count);
    cr_assert_eq(configuration.services[0].key_ranges.size(), count);
  }
  cr_assert(EqualKeyRanges({}).empty());
}

// Guards against a drain plan for a target that does not exist, and against a
// document that cannot be published any more because a target that it already
// drains has stopped.
Test(configuration, only_new_plans_need_a_known_target) {
  const Configuration in_force = MakeValid();
  Configuration edited = in_force;
  edited.plans.push_back({PlanKind::kDrain, "gearshelf-9"});
  const std::vector<TargetId> known = {"gearshelf-2"};
  const auto errors = ValidateNewPlans(edited, &in_force, known);
  cr_assert_eq(errors.size(), 1U);
  cr_assert_str_eq(errors[0].pointer.c_str(), "/plans/1/target");
  cr_assert_str_eq(errors[0].value.c_str(), "gearshelf-9");
  cr_assert_eq(ValidateNewPlans(edited, nullptr, known).size(), 2U);
  edited.plans[1].target = "gearshelf-2";
  cr_assert(ValidateNewPlans(edited, &in_force, known).empty());
}

// Guards against lookups that match a prefix of a name or another entry.
Test(configuration, lookups_find_by_name) {
  const Configuration configuration = MakeValid();
  cr_assert_eq(configuration.FindService("holdfast"),
               &configuration.services[1]);
  cr_assert_null(configuration.FindService("hold"));
  cr_assert(configuration.HasZone("valley-lodge"));
  cr_assert_not(configuration.HasZone("valley"));
  cr_assert(configuration.IsDrained("gearshelf-1"));
  cr_assert_not(configuration.IsDrained("gearshelf-2"));
  const ServiceConfig& service = configuration.services[0];
  cr_assert_eq(service.FindClass("photo"), &service.classes[1]);
  cr_assert_null(service.FindClass(""));
}

}  // namespace snipehall
