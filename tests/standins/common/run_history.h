#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/types.h"

namespace snipehall::standin {

enum class RunState {
  kRunning,
  kFinished,
  // Ended by a cancellation; it may have had an effect.
  kCancelled,
  // The lease lapsed while it ran, so its effect was discarded.
  kFenced,
};

// One execution of a request at a target. Times are in microseconds; 0 as end
// means that it had not ended.
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

// Executions in order of their start. With a file, each start and each end is
// written to it as a line at once, so that the history survives SIGKILL.
class RunHistory {
 public:
  // Keeps at most `limit` executions; later ones are counted as dropped.
  // `file` may be empty. Throws when it cannot be opened.
  RunHistory(std::size_t limit,
             const std::string& file,
             std::string target,
             Incarnation incarnation);
  ~RunHistory();

  RunHistory(const RunHistory&) = delete;
  RunHistory& operator=(const RunHistory&) = delete;

  // Returns an index for End().
  std::size_t Start(Run run);
  void End(std::size_t index, RunState state);

  // Executions of a request id whose effect stands.
  int CountOf(std::string_view request_id) const;

  // JSON of up to `max` executions from the index `from` on.
  std::string ToJson(std::size_t from, std::size_t max) const;

 private:
  static constexpr std::size_t kDropped = SIZE_MAX;

  std::string ToLine(const Run& run) const;
  void Write(const Run& run);

  std::size_t m_limit;
  std::string m_target;
  Incarnation m_incarnation;
  int m_file;
  std::vector<Run> m_runs;
  std::unordered_map<std::string, int> m_counts;
  std::uint64_t m_dropped = 0;
};

}  // namespace snipehall::standin
