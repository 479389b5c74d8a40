#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "process/support/history.h"
#include "process/support/temporary_directory.h"

#include <criterion/criterion.h>

// Tests of the history checks. A check that misses violations would let the
// failure tests pass without proving anything.

namespace snipehall::test {

namespace {

ExecutedRequest Executed(std::string target,
                         std::string id,
                         LogOffset token,
                         std::int64_t start_us,
                         std::int64_t end_us) {
  return {std::move(target), "1",    std::move(id), true, 7, token,
          start_us,          end_us, "finished"};
}

}  // namespace

Test(history_check, ownership_transfer_is_accepted) {
  const std::vector<ExecutedRequest> history{
      Executed("a", "r1", 3, 0, 10), Executed("a", "r2", 3, 5, 12),
      Executed("b", "r3", 4, 12, 20), Executed("a", "r4", 5, 21, 22)};
  RequireNoViolations(CheckOwners(history));
}

Test(history_check, concurrent_owners_are_detected) {
  // The last execution overlaps the longest one, not the previous one.
  const std::vector<ExecutedRequest> history{Executed("a", "r1", 3, 0, 100),
                                             Executed("a", "r2", 3, 10, 20),
                                             Executed("b", "r3", 4, 50, 60)};
  Require(CheckOwners(history).size() == 1, "overlap");
}

Test(history_check, stale_owner_is_detected) {
  const std::vector<ExecutedRequest> history{Executed("a", "r1", 3, 0, 10),
                                             Executed("b", "r2", 4, 20, 30),
                                             Executed("a", "r3", 3, 40, 50)};
  Require(CheckOwners(history).size() == 1, "stale token");
}

Test(history_check, other_incarnation_is_another_owner) {
  std::vector<ExecutedRequest> history{Executed("a", "r1", 3, 0, 10),
                                       Executed("a", "r2", 3, 5, 12)};
  history[1].incarnation = "2";
  Require(CheckOwners(history).size() == 1, "two incarnations");
}

Test(history_check, fenced_executions_have_no_owner) {
  std::vector<ExecutedRequest> history{Executed("a", "r1", 3, 0, 100),
                                       Executed("b", "r2", 4, 50, 60)};
  history[0].state = "fenced";
  RequireNoViolations(CheckOwners(history));
}

Test(history_check, wrong_verdicts_and_repeated_runs_are_detected) {
  const std::vector<ExecutedRequest> history{Executed("a", "r1", 3, 0, 10),
                                             Executed("b", "r1", 4, 20, 30),
                                             Executed("b", "r2", 4, 20, 30)};
  TrafficReport report;
  report.answered_by = {{"r1", "b"}};
  RequireNoViolations(CheckOutcomes(history, report, true));
  Require(CheckOutcomes(history, report, false).size() == 1, "second run");
  report.refused_ids = {"r2", "r3"};
  Require(CheckOutcomes(history, report, true).size() == 1, "false refusal");
  report.answered_by.emplace("r9", "a");
  Require(CheckOutcomes(history, report, true).size() == 2, "never ran");
}

// Guards against a history that omits the request during which the target was
// killed, or that cannot be read because its last line is incomplete.
Test(history_check, incomplete_history_is_read) {
  const TemporaryDirectory directory;
  const std::string path = directory.path() / "history";
  const std::string head = R"({"target":"a","incarnation":"1","id":")";
  const std::string tail =
      R"(,"hash":"0000000000000007","token":"0000000000000003"})";
  std::ofstream(path) << head << R"(r1","start_us":5,"end_us":0,)"
                      << R"("state":"running")" << tail << '\n'
                      << head << R"(r2","start_us":6,"end_us":0,)"
                      << R"("state":"running")" << tail << '\n'
                      << head << R"(r1","start_us":5,"end_us":9,)"
                      << R"("state":"finished")" << tail << '\n'
                      << head << "r3";
  const std::vector<std::string> files{path, path + "-missing"};
  const auto history = ReadHistory(files);
  Require(history.size() == 2, "two executions");
  Require(history[0].state == "finished" && history[0].end_us == 9, "r1");
  Require(history[1].state == "running" && history[1].end_us == 6, "r2");
  Require(history[1].token == 3 && history[1].hash == 7, "token and hash");
}

}  // namespace snipehall::test
