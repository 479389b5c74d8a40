#include "state/cluster_state.h"

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <optional>

#include <criterion/criterion.h>

using namespace snipehall;  // NOLINT(google-build-using-namespace)

namespace {

Record MakeAssignment(LogOffset based_on, std::vector<OwnerChange> changes) {
  return {"id", "author", based_on, AssignmentRecord{"s", std::move(changes)}};
}

Record MakeMembers(LogOffset based_on, std::vector<InstanceId> members) {
  return {"id", "author", based_on, MembersRecord{"g", std::move(members)}};
}

Record MakeConfiguration(LogOffset based_on, const char* zone) {
  Configuration configuration;
  configuration.zones = {{zone, "region"}};
  return {"id", "author", based_on, ConfigurationRecord{configuration}};
}

// Reference model: ownership of the hashes 0 to 15, stored for each hash
// separately.
struct HashOwner {
  TargetId owner;
  GroupId group;
  LogOffset token = 0;
  std::vector<GroupId> former;

  bool operator==(const HashOwner&) const = default;
};
constexpr std::uint64_t kHashCount = 16;
using HashOwners = std::array<std::optional<HashOwner>, kHashCount>;

// Applies an ownership change to the reference model.
void ApplyToReference(HashOwners& owners,
                      LogOffset offset,
                      const OwnerChange& change) {
  std::vector<GroupId> former;
  for (std::uint64_t i = change.range.first; i <= change.range.last; ++i) {
    if (owners.at(i)) {
      former.push_back(owners.at(i)->group);
      former.insert(former.end(), owners.at(i)->former.begin(),
                    owners.at(i)->former.end());
    }
  }
  std::sort(former.begin(), former.end());
  former.erase(std::unique(former.begin(), former.end()), former.end());
  std::erase(former, change.group);
  for (std::uint64_t i = change.range.first; i <= change.range.last; ++i) {
    owners.at(i) = HashOwner{change.owner, change.group, offset, former};
  }
}

// Expands the ranges of an assignment to the form of the reference model.
HashOwners ToHashOwners(const ServiceAssignment& assignment) {
  HashOwners owners;
  for (std::uint64_t i = 0; i < kHashCount; ++i) {
    if (const OwnedRange* entry = assignment.Find(i)) {
      owners.at(i) = HashOwner{entry->owner, entry->group, entry->token,
                               entry->former_groups};
    }
  }
  return owners;
}

rc::Gen<OwnerChange> GenChange() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange<std::uint64_t>(0, kHashCount),
                     rc::gen::inRange<std::uint64_t>(0, kHashCount),
                     rc::gen::element<TargetId>("a", "b", "c"),
                     rc::gen::element<GroupId>("g", "h")),
      [](const auto& parts) {
        const auto [x, y, owner, group] = parts;
        return OwnerChange{{std::min(x, y), std::max(x, y)}, owner, group};
      });
}

}  // namespace

// Guards against a hash that keeps its previous owner in addition to the new
// one, and against adjacent ranges of one owner that are not merged.
Test(cluster_state, assignment_splits_and_merges) {
  ClusterState state;
  cr_assert_eq(state.Apply(1, MakeAssignment(0, {{{0, UINT64_MAX}, "a", "g"}})),
               ApplyOutcome::kAccepted);
  cr_assert_eq(state.Apply(2, MakeAssignment(1, {{{10, 19}, "b", "h"}})),
               ApplyOutcome::kAccepted);
  const auto& ranges = state.FindAssignment("s")->ranges;
  cr_assert_eq(ranges.size(), 3U);
  cr_assert(ranges[0] == (OwnedRange{{0, 9}, "a", "g", 1, {}}));
  cr_assert(ranges[1] == (OwnedRange{{10, 19}, "b", "h", 2, {"g"}}));
  cr_assert(ranges[2] == (OwnedRange{{20, UINT64_MAX}, "a", "g", 1, {}}));
  cr_assert_eq(
      state.Apply(3, MakeAssignment(2, {{{0, 14}, "c", "g"},
                                        {{15, UINT64_MAX}, "c", "g"}})),
      ApplyOutcome::kAccepted);
  cr_assert_eq(ranges.size(), 1U);
  cr_assert(ranges[0] == (OwnedRange{{0, UINT64_MAX}, "c", "g", 3, {"h"}}));
}

// Guards against accepting a record that was built from an outdated version of
// the entry that it changes.
Test(cluster_state, stale_records_are_not_applied) {
  ClusterState state;
  cr_assert_eq(state.Apply(1, MakeConfiguration(0, "z")),
               ApplyOutcome::kAccepted);
  cr_assert_eq(state.Apply(2, MakeConfiguration(0, "y")), ApplyOutcome::kStale);
  cr_assert_eq(state.configuration()->offset, 1U);
  cr_assert_eq(state.Apply(3, MakeMembers(0, {"1", "2"})),
               ApplyOutcome::kAccepted);
  cr_assert_eq(state.Apply(4, MakeMembers(0, {"3"})), ApplyOutcome::kStale);
  cr_assert_eq(state.Apply(5, MakeMembers(3, {"2", "3"})),
               ApplyOutcome::kAccepted);
  const GroupMembers expected{"g", 5, {"2", "3"}, {"1", "2"}};
  cr_assert(*state.FindGroup("g") == expected);
  cr_assert_eq(state.Apply(6, MakeAssignment(9, {{{0, 1}, "a", "g"}})),
               ApplyOutcome::kStale);
  cr_assert_null(state.FindAssignment("s"));
  cr_assert_eq(state.offset(), 6U);
}

// Guards against applying records with empty lists, inverted or overlapping
// ranges, empty names or duplicate members.
Test(cluster_state, malformed_records_are_invalid) {
  ClusterState state;
  const std::vector<std::vector<OwnerChange>> malformed = {
      {},
      {{{5, 4}, "a", "g"}},
      {{{0, 5}, "a", "g"}, {{5, 9}, "b", "g"}},
      {{{0, 5}, "", "g"}},
      {{{0, 5}, "a", ""}}};
  LogOffset offset = 0;
  for (const auto& changes : malformed) {
    cr_assert_eq(state.Apply(++offset, MakeAssignment(0, changes)),
                 ApplyOutcome::kInvalid);
  }
  cr_assert_eq(state.Apply(++offset, MakeMembers(0, {})),
               ApplyOutcome::kInvalid);
  cr_assert_eq(state.Apply(++offset, MakeMembers(0, {"1", "1"})),
               ApplyOutcome::kInvalid);
  cr_assert(state.assignments().empty());
  cr_assert(state.groups().empty());
}

// Guards against a configuration history that grows without bound.
Test(cluster_state, history_is_bounded) {
  ClusterState state;
  for (LogOffset offset = 1; offset <= 100; ++offset) {
    cr_assert_eq(state.Apply(offset, MakeConfiguration(offset - 1, "z")),
                 ApplyOutcome::kAccepted);
  }
  cr_assert_eq(state.history().size(), ClusterState::kHistoryLimit);
  cr_assert_eq(state.configuration()->offset, 100U);
}

// Guards against a snapshot that replaces newer state, and against skipping the
// records between the offset that the snapshot covers and its own offset.
Test(cluster_state, snapshot_restores_only_an_empty_state) {
  ClusterState state;
  state.Apply(1, MakeConfiguration(0, "z"));
  state.Apply(2, MakeAssignment(0, {{{0, 9}, "a", "g"}}));
  const Record snapshot{"id", "author", 2, state.ToSnapshot()};
  ClusterState reader;
  cr_assert_eq(reader.Apply(4, snapshot), ApplyOutcome::kAccepted);
  cr_assert(reader == state);
  cr_assert_eq(reader.Apply(5, snapshot), ApplyOutcome::kSkipped);
  cr_assert_eq(reader.offset(), 5U);
}

// Guards against range splits and merges whose result differs from a reference
// model that stores the owner of each hash.
Test(cluster_state, assignments_match_reference_model) {
  const bool passed = rc::check("assignments match the reference model", [] {
    ClusterState state;
    HashOwners reference;
    LogOffset version = 0;
    const int steps = *rc::gen::inRange(1, 30);
    for (int i = 1; i <= steps; ++i) {
      const auto offset = static_cast<LogOffset>(i);
      const auto changes = *rc::gen::resize(
          3, rc::gen::container<std::vector<OwnerChange>>(GenChange()));
      const LogOffset based_on =
          *rc::gen::weightedElement<LogOffset>({{4, version}, {1, offset}});
      bool acceptable = based_on == version && !changes.empty();
      for (std::size_t a = 0; a < changes.size(); ++a) {
        for (std::size_t b = a + 1; b < changes.size(); ++b) {
          acceptable =
              acceptable && !changes[a].range.Overlaps(changes[b].range);
        }
      }
      const ApplyOutcome outcome =
          state.Apply(offset, MakeAssignment(based_on, changes));
      RC_ASSERT((outcome == ApplyOutcome::kAccepted) == acceptable);
      if (!acceptable) {
        continue;
      }
      version = offset;
      for (const OwnerChange& change : changes) {
        ApplyToReference(reference, offset, change);
      }
      RC_ASSERT(ToHashOwners(*state.FindAssignment("s")) == reference);
      RC_ASSERT(ClusterState::FromSnapshot(state.ToSnapshot()).value() ==
                state);
    }
  });
  cr_assert(passed);
}
