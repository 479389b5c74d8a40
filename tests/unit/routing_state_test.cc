#include "transport/gateway/routing_state.h"

#include <array>

#include <criterion/criterion.h>

namespace snipehall {
namespace {

constexpr const char* kService = "catalog";

// A table whose only range moves from target a to target b.
KeyTable MakeTableWithMove(FencingToken fencing_token) {
  KeyTable table;
  table.fencing_token = fencing_token;
  KeyAssignment range;
  range.owner = "b";
  range.previous_owner = "a";
  range.fencing_token = fencing_token;
  table.services[kService] = {range};
  return table;
}

// Guards against requests that wait for the move of keys which their new owner
// already serves.
Test(routing_state, completed_move_is_known_before_the_table_shows_it) {
  RoutingState state;
  state.SetKeys(MakeTableWithMove(7));
  cr_assert(state.keys().Find(kService, 1)->moving());
  const std::uint64_t before = state.version();
  const std::array<FencingToken, 1> fencing_tokens = {7};
  state.AddCompletedMoves(fencing_tokens);
  cr_assert_not(state.keys().Find(kService, 1)->moving());
  cr_assert_gt(state.version(), before);
}

// Guards against a newer table that was written before the move was complete
// and still shows it.
Test(routing_state, completed_move_stays_known_with_the_next_table) {
  RoutingState state;
  const std::array<FencingToken, 1> fencing_tokens = {7};
  state.AddCompletedMoves(fencing_tokens);
  state.SetKeys(MakeTableWithMove(7));
  cr_assert_not(state.keys().Find(kService, 1)->moving());
}

// Guards against requests to a target that has not been granted the keys yet: a
// later move of the same range has a different fencing token.
Test(routing_state, later_move_of_the_same_keys_counts_as_moving) {
  RoutingState state;
  const std::array<FencingToken, 1> fencing_tokens = {7};
  state.SetKeys(MakeTableWithMove(7));
  state.AddCompletedMoves(fencing_tokens);
  state.SetKeys(MakeTableWithMove(9));
  cr_assert(state.keys().Find(kService, 1)->moving());
}

}  // namespace
}  // namespace snipehall
