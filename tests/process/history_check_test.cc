#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "process/support/history.h"
#include "process/support/temporary_directory.h"

#include <criterion/criterion.h>

// Tests of the history checker: a checker that finds nothing proves nothing.

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

Test(history_check, a_handover_is_accepted) {
  const std::vector<ExecutedRequest> history{
      Executed("a", "r1", 3, 0, 10), Executed("a", "r2", 3, 5, 12),
      Executed("b", "r3", 4, 12, 20), Executed("a", "r4", 5, 21, 22)};
  RequireNone(CheckOwners(history));
}

Test(history_check, two_owners_at_a_time_are_found) {
  // The overlap is with the longest execution, not with the one just before.
  const std::vector<ExecutedRequest> history{Executed("a", "r1", 3, 0, 100),
                                             Executed("a", "r2", 3, 10, 20),
                                             Executed("b", "r3", 4, 50, 60)};
  Require(CheckOwners(history).size() == 1, "overlap");
}

Test(history_check, a_stale_owner_is_found) {
  const std::vector<ExecutedRequest> history{Executed("a", "r1", 3, 0, 10),
                                             Executed("b", "r2", 4, 20, 30),
                                             Executed("a", "r3", 3, 40, 50)};
  Require(CheckOwners(history).size() == 1, "stale token");
}

Test(history_check, another_incarnation_is_another_owner) {
  std::vector<ExecutedRequest> history{Executed("a", "r1", 3, 0, 10),
                                       Executed("a", "r2", 3, 5, 12)};
  history[1].incarnation = "2";
  Require(CheckOwners(history).size() == 1, "two incarnations");
}

Test(history_check, fenced_executions_have_no_owner) {
  std::vector<ExecutedRequest> history{Executed("a", "r1", 3, 0, 100),
                                       Executed("b", "r2", 4, 50, 60)};
  history[0].state = "fenced";
  RequireNone(CheckOwners(history));
}

Test(history_check, false_verdicts_and_second_runs_are_found) {
  const std::vector<ExecutedRequest> history{Executed("a", "r1", 3, 0, 10),
                                             Executed("b", "r1", 4, 20, 30),
                                             Executed("b", "r2", 4, 20, 30)};
  TrafficReport report;
  report.ended_right = {{"r1", "b"}};
  RequireNone(CheckOutcomes(history, report, true));
  Require(CheckOutcomes(history, report, false).size() == 1, "second run");
  report.ended_not_run = {"r2", "r3"};
  Require(CheckOutcomes(history, report, true).size() == 1, "false refusal");
  report.ended_right.emplace("r9", "a");
  Require(CheckOutcomes(history, report, true).size() == 2, "never ran");
}

// Guards against a history that loses the request during which its target was
// killed, or that cannot be read after a line was cut off.
Test(history_check, an_unfinished_history_is_read) {
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
