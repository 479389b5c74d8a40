#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/types.h"

namespace snipehall::standin {

// State of one execution of a request.
enum class RunState {
  kRunning,
  kFinished,
  // Cancelled while it ran. It may have had an effect.
  kCancelled,
  // The lease expired while it ran, so its effect was discarded.
  kFenced,
};

// One execution of a request at a target. Times are in microseconds, on the
// monotonic clock and as Unix time (`*_wall_us`). End times are 0 if the
// request has not ended.
struct Run {
  std::string request_id;
  bool keyed = false;
  std::uint64_t hash = 0;
  LogOffset token = 0;
  std::int64_t start_us = 0;
  std::int64_t end_us = 0;
  std::int64_t start_wall_us = 0;
  std::int64_t end_wall_us = 0;
  RunState state = RunState::kRunning;
};

// History of executions, ordered by start time. If a file is given, each start
// and each end is written to it immediately as a line of JSON, so that the
// history survives SIGKILL.
class RunHistory {
 public:
  // Keeps the first `limit` executions and only counts later ones as dropped.
  // Appends to `file` unless the name is empty. Throws `std::system_error` if
  // the file cannot be opened.
  RunHistory(std::size_t limit,
             const std::string& file,
             std::string target,
             Incarnation incarnation);
  ~RunHistory();

  RunHistory(const RunHistory&) = delete;
  RunHistory& operator=(const RunHistory&) = delete;

  // Records the start of an execution. Returns the index to pass to End().
  std::size_t Start(Run run);
  // Records the end of an execution and its final state.
  void End(std::size_t index, RunState state);

  // Returns the number of executions with this request id, except those that
  // were fenced.
  int CountOf(std::string_view request_id) const;

  // Returns up to `max` executions as JSON, starting at index `from`.
  std::string ToJson(std::size_t from, std::size_t max) const;

 private:
  // Index of an execution that was dropped because of the limit.
  static constexpr std::size_t kNotRecorded = SIZE_MAX;

  std::string ToLine(const Run& run) const;
  void AppendToFile(const Run& run);

  std::size_t m_max_runs;
  std::string m_target;
  Incarnation m_incarnation;
  int m_file_descriptor;
  std::vector<Run> m_runs;
  // Number of executions by request id, without fenced ones.
  std::unordered_map<std::string, int> m_run_counts;
  std::uint64_t m_dropped_runs = 0;
};

}  // namespace snipehall::standin
