#include "transport/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cerrno>
#include <chrono>
#include <system_error>
#include <utility>

namespace snipehall {

namespace {

constexpr mode_t kFileMode = 0640;

}  // namespace

EventLog::EventLog(InstanceId instance, const std::string& file)
    : m_instance(std::move(instance)), m_fd(STDOUT_FILENO) {
  if (!file.empty()) {
    m_fd = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                  kFileMode);
    if (m_fd < 0) {
      throw std::system_error(errno, std::generic_category(), file);
    }
  }
  const int flags = ::fcntl(m_fd, F_GETFL);
  if (flags >= 0) {
    ::fcntl(m_fd, F_SETFL, flags | O_NONBLOCK);
  }
}

EventLog::~EventLog() {
  if (m_fd != STDOUT_FILENO) {
    ::close(m_fd);
  }
}

void EventLog::Write(std::string_view event, Fields fields) {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  const std::int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now).count();
  RateLimit& rate_limit = m_rate_limits[std::string(event)];
  if (rate_limit.second != second) {
    rate_limit.second = second;
    rate_limit.lines = 0;
  }
  if (rate_limit.lines >= kMaxLinesPerSecond) {
    ++rate_limit.suppressed;
    return;
  }
  ++rate_limit.lines;
  boost::json::object line;
  line["time"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
  line["instance"] = m_instance;
  line["event"] = event;
  for (const auto& [name, value] : fields) {
    line[name] = value;
  }
  if (rate_limit.suppressed > 0) {
    line["left_out"] = std::exchange(rate_limit.suppressed, 0);
  }
  std::string text = boost::json::serialize(line);
  text.push_back('\n');
  if (::write(m_fd, text.data(), text.size()) !=
      static_cast<ssize_t>(text.size())) {
    ++m_dropped;
  }
}

}  // namespace snipehall
