#include <rapidcheck.h>

#include "coordination/changes/add_class.h"
#include "coordination/changes/add_key_range.h"
#include "coordination/changes/add_plan.h"
#include "coordination/changes/add_service.h"
#include "coordination/changes/add_zone.h"
#include "coordination/changes/draft.h"
#include "coordination/changes/remove_plan.h"
#include "coordination/changes/set_limit.h"
#include "coordination/changes/split_key_range.h"
#include "support/configuration_generator.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

// Draws the name of an existing entry or, in one of five cases, a name that may
// not exist.
template <typename T>
std::string DrawNameOf(const std::vector<T>& entries) {
  if (entries.empty() || *rc::gen::inRange(0, 5) == 0) {
    return testing::DrawName(*rc::gen::inRange<std::size_t>(0, 5));
  }
  return entries[*rc::gen::inRange<std::size_t>(0, entries.size())].name;
}

std::uint64_t DrawHash() {
  return *rc::gen::inRange<std::uint64_t>(0, UINT64_MAX);
}

SetLimit::Scope DrawScope(const Configuration& draft) {
  if (*rc::gen::arbitrary<bool>()) {
    return {"", "", DrawNameOf(draft.tenants)};
  }
  SetLimit::Scope scope{DrawNameOf(draft.services), "", ""};
  const ServiceConfig* service = draft.FindService(scope.service);
  if (service != nullptr && *rc::gen::arbitrary<bool>()) {
    scope.class_name = DrawNameOf(service->classes);
  }
  return scope;
}

std::unique_ptr<ConfigurationChange> DrawChange(const Configuration& draft) {
  const std::string service = DrawNameOf(draft.services);
  const std::string zone = DrawNameOf(draft.zones);
  const std::size_t index = *rc::gen::inRange<std::size_t>(0, 9);
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
      return std::make_unique<AddZone>(
          ZoneConfig{testing::DrawName(index), "r"});
    case 1:
      return std::make_unique<AddService>(
          testing::DrawService(index, draft.zones));
    case 2:
      return std::make_unique<AddClass>(service,
                                        ClassConfig{testing::DrawName(index)});
    case 3: {
      const std::uint64_t first = DrawHash();
      const std::uint64_t last = *rc::gen::element(first, UINT64_MAX);
      return std::make_unique<AddKeyRange>(service,
                                           KeyRangeConfig{{first, last}, zone});
    }
    case 4:
      return std::make_unique<SplitKeyRange>(service, DrawHash(), zone);
    case 5:
      return std::make_unique<AddPlan>(
          PlanConfig{PlanKind::kDrain, testing::DrawName(index)});
    case 6:
      return std::make_unique<RemovePlan>(
          draft.plans.empty() ? "none" : draft.plans.front().target);
    default:
      return std::make_unique<SetLimit>(
          DrawScope(draft),
          *rc::gen::element<std::string>(
              "slots_per_endpoint", "connections_per_endpoint", "move_after_s",
              "default_deadline_ms", "reserved_slots_percent", "queue_limit",
              "weight"),
          *rc::gen::inRange(0, 200));
  }
}

// Returns a draft with the zones a and b and one keyed service.
Configuration MakeDraft() {
  Configuration draft;
  draft.zones = {{"a", "r"}, {"b", "r"}};
  ServiceConfig service;
  service.name = "gearshelf";
  service.keyed = true;
  service.default_class = "lookup";
  service.classes = {{"lookup"}};
  service.key_ranges = EqualKeyRanges(draft.zones);
  draft.services = {service};
  return draft;
}

// Checks that the change fails with an error at `pointer` and leaves the draft
// unchanged.
void ExpectRefused(ConfigurationChange&& change, const char* pointer) {
  Configuration draft = MakeDraft();
  const Result<void> applied = change.Apply(draft);
  cr_assert_not(applied.has_value(), "change was accepted: %s",
                change.Describe().c_str());
  cr_assert_str_eq(applied.error().pointer.c_str(), pointer);
  cr_assert(draft == MakeDraft());
}

}  // namespace

// Guards against an undo that does not restore the previous draft, and against
// a refused change that modifies the draft.
Test(changes, undoing_all_changes_restores_the_draft) {
  cr_assert(rc::check("undoing changes restores the draft", [] {
    const Configuration base = testing::DrawConfiguration();
    Draft draft(base);
    std::vector<Configuration> steps;
    for (int i = 0; i < 12; ++i) {
      const Configuration before = draft.configuration();
      if (draft.Apply(DrawChange(before))) {
        steps.push_back(before);
      } else {
        RC_ASSERT(draft.configuration() == before);
      }
    }
    RC_ASSERT(draft.changes().size() == steps.size());
    for (; !steps.empty(); steps.pop_back()) {
      draft.UndoLast();
      RC_ASSERT(draft.configuration() == steps.back());
    }
    draft.UndoLast();
    RC_ASSERT(draft.configuration() == base);
  }));
}

// Guards against adding or splitting key ranges in a way that leaves gaps or
// overlaps.
Test(changes, key_range_changes_keep_the_draft_valid) {
  cr_assert(rc::check("key ranges cover the hash space without overlaps", [] {
    Draft draft(MakeDraft());
    for (int i = 0; i < 8; ++i) {
      const std::string zone = *rc::gen::element<std::string>("a", "b");
      const std::uint64_t first = DrawHash();
      const std::uint64_t last =
          *rc::gen::inRange<std::uint64_t>(first, UINT64_MAX);
      if (*rc::gen::arbitrary<bool>()) {
        RC_ASSERT(draft
                      .Apply(std::make_unique<AddKeyRange>(
                          "gearshelf", KeyRangeConfig{{first, last}, zone}))
                      .has_value());
      } else {
        (void)draft.Apply(
            std::make_unique<SplitKeyRange>("gearshelf", first, zone));
      }
      RC_ASSERT(ValidateConfiguration(draft.configuration()).empty());
    }
  }));
}

// Guards against an off-by-one error at the bounds of the ranges that an added
// or split range overlaps.
Test(changes, added_range_truncates_overlapping_ranges) {
  Configuration draft = MakeDraft();
  constexpr std::uint64_t kUpperHalfFirst = 0x8000000000000000;
  cr_assert(
      AddKeyRange("gearshelf", {{kUpperHalfFirst - 1, kUpperHalfFirst}, "b"})
          .Apply(draft));
  const auto& ranges = draft.services[0].key_ranges;
  cr_assert_eq(ranges.size(), 3U);
  cr_assert(ranges[0] == (KeyRangeConfig{{0, kUpperHalfFirst - 2}, "a"}));
  cr_assert(ranges[2] ==
            (KeyRangeConfig{{kUpperHalfFirst + 1, UINT64_MAX}, "b"}));
  cr_assert(SplitKeyRange("gearshelf", 16, "b").Apply(draft));
  cr_assert(ranges[0] == (KeyRangeConfig{{0, 15}, "a"}));
  cr_assert(ranges[1] == (KeyRangeConfig{{16, kUpperHalfFirst - 2}, "b"}));
}

// Guards against changes of entries that do not exist, additions of entries
// that already exist, and error pointers that name the wrong field.
Test(changes, invalid_changes_are_refused) {
  ExpectRefused(AddZone({"a", "r"}), "/name");
  ExpectRefused(AddService(MakeDraft().services[0]), "/name");
  ExpectRefused(AddClass("gearshelf", {"lookup"}), "/name");
  ExpectRefused(AddClass("other", {"photo"}), "/service");
  ExpectRefused(AddKeyRange("other", {{0, 1}, "a"}), "/service");
  ExpectRefused(AddKeyRange("gearshelf", {{0, 1}, "c"}), "/zone");
  ExpectRefused(AddKeyRange("gearshelf", {{1, 0}, "a"}), "/last");
  ExpectRefused(SplitKeyRange("gearshelf", 0, "a"), "/at");
  ExpectRefused(SplitKeyRange("gearshelf", 1, "c"), "/zone");
  ExpectRefused(RemovePlan("gearshelf-1"), "/target");
  ExpectRefused(SetLimit({"other", "", ""}, "weight", 1), "/service");
  ExpectRefused(SetLimit({"gearshelf", "x", ""}, "queue_limit", 1), "/class");
  ExpectRefused(SetLimit({"gearshelf", "", ""}, "queue_limit", 1), "/limit");
  ExpectRefused(SetLimit({"", "", "shop"}, "queue_limit", 1), "/limit");
}

// Guards against a limit that is set on a service, class or tenant other than
// the named one.
Test(changes, limits_are_set_in_their_scope) {
  Configuration draft = MakeDraft();
  cr_assert(SetLimit({"gearshelf", "", ""}, "move_after_s", 30).Apply(draft));
  cr_assert(
      SetLimit({"gearshelf", "lookup", ""}, "queue_limit", 7).Apply(draft));
  cr_assert(SetLimit({"", "", "shop"}, "weight", 4).Apply(draft));
  cr_assert_eq(draft.services[0].move_after->count(), 30000);
  cr_assert_eq(draft.services[0].classes[0].queue_limit, 7);
  cr_assert(draft.tenants == (std::vector<TenantConfig>{{"shop", 4}}));
}

}  // namespace snipehall
