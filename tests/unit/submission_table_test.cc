#include "transport/submission_table.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using snipehall::ApplyOutcome;
using snipehall::ClusterState;
using snipehall::ErrorCode;
using snipehall::LogEntry;
using snipehall::LogOffset;
using snipehall::MonotonicTime;
using snipehall::Record;
using snipehall::Result;
using snipehall::SubmissionTable;
using snipehall::SubmitOutcome;

Record MakeMembers(const std::string& id, LogOffset based_on) {
  return {id, "test", based_on,
          snipehall::MembersRecord{"zone-a", {"entry-1"}}};
}

// A submission table whose reported outcomes are collected.
struct Fixture {
  SubmissionTable table;
  std::vector<Result<SubmitOutcome>> outcomes;

  bool Add(const std::string& id, MonotonicTime deadline = {}) {
    return table.Add(id, deadline, [this](Result<SubmitOutcome> outcome) {
      outcomes.push_back(std::move(outcome));
    });
  }
};

// Guards against a stale outcome without the offset of the record that took
// effect instead, also when one read returned both records.
Test(submission_table, stale_record_reports_the_current_offset) {
  Fixture fixture;
  cr_assert(fixture.Add("loser"));
  const std::vector<LogEntry> entries = {{1, MakeMembers("winner", 0)},
                                         {2, MakeMembers("loser", 0)}};
  const ClusterState state;
  SubmissionTable::Report(fixture.table.CompleteApplied(state, entries));
  cr_assert_eq(fixture.outcomes.size(), 1);
  const SubmitOutcome& outcome = fixture.outcomes[0].value();
  cr_assert(outcome.outcome == ApplyOutcome::kStale);
  cr_assert_eq(outcome.offset, 2);
  cr_assert_eq(outcome.current_version, 1);
  cr_assert_eq(state.offset(), 0);
}

// Guards against a submission that does not end by its deadline, or ends twice.
Test(submission_table, expired_submission_reports_a_timeout_once) {
  Fixture fixture;
  cr_assert(fixture.Add("late", MonotonicTime(1s)));
  cr_assert(!fixture.Add("late", MonotonicTime(9s)));
  const auto may_be_appended = [](std::string_view) { return true; };
  SubmissionTable::Report(
      fixture.table.Expire(MonotonicTime(999ms), may_be_appended));
  cr_assert(fixture.outcomes.empty());
  SubmissionTable::Report(
      fixture.table.Expire(MonotonicTime(1s), may_be_appended));
  SubmissionTable::Report(
      fixture.table.Expire(MonotonicTime(2s), may_be_appended));
  cr_assert_eq(fixture.outcomes.size(), 1);
  cr_assert(fixture.outcomes[0].error().code == ErrorCode::kTimeout);
}

// Guards against an unbounded number of pending submissions.
Test(submission_table, number_of_submissions_is_limited) {
  Fixture fixture;
  for (std::size_t count = 0; count < SubmissionTable::kMaxSubmissions;
       ++count) {
    cr_assert(fixture.Add(std::to_string(count)));
  }
  cr_assert(!fixture.Add("one more"));
}

}  // namespace
