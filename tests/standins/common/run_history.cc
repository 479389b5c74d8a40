#include "standins/common/run_history.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cerrno>
#include <chrono>
#include <system_error>
#include <utility>

#include "state/hash_range.h"

namespace snipehall::standin {

namespace {

template <typename Clock>
std::int64_t NowUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             Clock::now().time_since_epoch())
      .count();
}

std::string_view ToString(RunState state) {
  switch (state) {
    case RunState::kRunning:
      return "running";
    case RunState::kFinished:
      return "finished";
    case RunState::kCancelled:
      return "cancelled";
    case RunState::kFenced:
      return "fenced";
  }
  return "running";
}

int OpenFile(const std::string& file) {
  if (file.empty()) {
    return -1;
  }
  const int descriptor =
      open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (descriptor < 0) {
    throw std::system_error(errno, std::generic_category(), file);
  }
  return descriptor;
}

}  // namespace

RunHistory::RunHistory(std::size_t limit,
                       const std::string& file,
                       std::string target,
                       Incarnation incarnation)
    : m_max_runs(limit),
      m_target(std::move(target)),
      m_incarnation(incarnation),
      m_file_descriptor(OpenFile(file)) {}

RunHistory::~RunHistory() {
  if (m_file_descriptor >= 0) {
    close(m_file_descriptor);
  }
}

std::size_t RunHistory::Start(Run run) {
  if (m_runs.size() >= m_max_runs) {
    ++m_dropped_runs;
    return kNotRecorded;
  }
  run.start_us = NowUs<std::chrono::steady_clock>();
  run.start_wall_us = NowUs<std::chrono::system_clock>();
  ++m_run_counts[run.request_id];
  m_runs.push_back(std::move(run));
  AppendToFile(m_runs.back());
  return m_runs.size() - 1;
}

void RunHistory::End(std::size_t index, RunState state) {
  if (index == kNotRecorded) {
    return;
  }
  Run& run = m_runs[index];
  run.end_us = NowUs<std::chrono::steady_clock>();
  run.end_wall_us = NowUs<std::chrono::system_clock>();
  run.state = state;
  if (state == RunState::kFenced) {
    --m_run_counts[run.request_id];
  }
  AppendToFile(run);
}

int RunHistory::CountOf(std::string_view request_id) const {
  const auto found = m_run_counts.find(std::string(request_id));
  return found == m_run_counts.end() ? 0 : found->second;
}

std::string RunHistory::ToJson(std::size_t from, std::size_t max) const {
  std::string json = "{\"target\":" + boost::json::serialize(m_target) +
                     ",\"incarnation\":\"" + ToHex(m_incarnation) +
                     "\",\"total\":" + std::to_string(m_runs.size()) +
                     ",\"dropped\":" + std::to_string(m_dropped_runs) +
                     ",\"runs\":[";
  const std::size_t end =
      from > m_runs.size() ? from : from + std::min(max, m_runs.size() - from);
  for (std::size_t index = from; index < end; ++index) {
    json += index == from ? "\n" : ",\n";
    json += ToLine(m_runs[index]);
  }
  return json + "]}";
}

std::string RunHistory::ToLine(const Run& run) const {
  boost::json::object line{{"target", m_target},
                           {"incarnation", ToHex(m_incarnation)},
                           {"id", run.request_id},
                           {"start_us", run.start_us},
                           {"end_us", run.end_us},
                           {"start_wall_us", run.start_wall_us},
                           {"end_wall_us", run.end_wall_us},
                           {"state", ToString(run.state)}};
  if (run.keyed) {
    line["hash"] = ToHex(run.hash);
    line["token"] = ToHex(run.token);
  }
  return boost::json::serialize(line);
}

void RunHistory::AppendToFile(const Run& run) {
  if (m_file_descriptor < 0) {
    return;
  }
  const std::string line = ToLine(run) + "\n";
  if (write(m_file_descriptor, line.data(), line.size()) !=
      static_cast<ssize_t>(line.size())) {
    throw std::system_error(errno, std::generic_category(),
                            "writing the history");
  }
}

}  // namespace snipehall::standin
