#include "process/support/process.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace snipehall::test {

namespace {

// Owns the file descriptor actions of a posix_spawn() call.
class SpawnActions {
 public:
  SpawnActions() { posix_spawn_file_actions_init(&m_actions); }
  ~SpawnActions() { posix_spawn_file_actions_destroy(&m_actions); }
  SpawnActions(const SpawnActions&) = delete;
  SpawnActions& operator=(const SpawnActions&) = delete;

  posix_spawn_file_actions_t* get() { return &m_actions; }

 private:
  posix_spawn_file_actions_t m_actions{};
};

[[noreturn]] void ThrowError(int code, const std::string& what) {
  throw std::system_error(code, std::generic_category(), what);
}

}  // namespace

Process::Process(std::vector<std::string> arguments,
                 const std::string& error_file)
    : m_arguments(std::move(arguments)) {
  std::array<int, 2> pipe_fds{};
  if (pipe2(pipe_fds.data(), O_CLOEXEC) != 0) {
    ThrowError(errno, "pipe");
  }
  SpawnActions actions;
  posix_spawn_file_actions_addopen(actions.get(), STDIN_FILENO, "/dev/null",
                                   O_RDONLY, 0);
  posix_spawn_file_actions_adddup2(actions.get(), pipe_fds[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(actions.get(), STDERR_FILENO,
                                   error_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::vector<char*> argv;
  for (std::string& argument : m_arguments) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  const int failure = posix_spawn(&m_pid, argv[0], actions.get(), nullptr,
                                  argv.data(), environ);
  close(pipe_fds[1]);
  m_stdout_fd = pipe_fds[0];
  if (failure != 0) {
    close(m_stdout_fd);
    ThrowError(failure, "cannot start " + m_arguments[0]);
  }
}

Process::~Process() {
  KillAndClose();
}

Process::Process(Process&& other) noexcept
    : m_arguments(std::move(other.m_arguments)),
      m_pid(std::exchange(other.m_pid, -1)),
      m_stdout_fd(std::exchange(other.m_stdout_fd, -1)),
      m_stdout_buffer(std::move(other.m_stdout_buffer)) {}

Process& Process::operator=(Process&& other) noexcept {
  if (this != &other) {
    KillAndClose();
    m_arguments = std::move(other.m_arguments);
    m_pid = std::exchange(other.m_pid, -1);
    m_stdout_fd = std::exchange(other.m_stdout_fd, -1);
    m_stdout_buffer = std::move(other.m_stdout_buffer);
  }
  return *this;
}

std::string Process::ReadLine(Clock::time_point deadline) {
  for (;;) {
    const std::size_t end = m_stdout_buffer.find('\n');
    if (end != std::string::npos) {
      std::string line = m_stdout_buffer.substr(0, end);
      m_stdout_buffer.erase(0, end + 1);
      return line;
    }
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now());
    pollfd readable{m_stdout_fd, POLLIN, 0};
    const int ready = left.count() <= 0
                          ? 0
                          : poll(&readable, 1, static_cast<int>(left.count()));
    Require(ready > 0, m_arguments[0] + " did not print a line in time");
    std::array<char, 512> bytes{};
    const ssize_t size = read(m_stdout_fd, bytes.data(), bytes.size());
    Require(size > 0, m_arguments[0] + " closed its standard output");
    m_stdout_buffer.append(bytes.data(), static_cast<std::size_t>(size));
  }
}

void Process::Signal(int signal) const {
  if (m_pid > 0) {
    kill(m_pid, signal);
  }
}

std::optional<int> Process::Wait(Clock::time_point deadline) {
  int status = 0;
  const bool ended = WaitUntil(deadline, [this, &status] {
    return m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) == m_pid;
  });
  if (!ended) {
    return std::nullopt;
  }
  m_pid = -1;
  return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

void Process::KillAndClose() noexcept {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }
  if (m_stdout_fd >= 0) {
    close(m_stdout_fd);
    m_stdout_fd = -1;
  }
}

}  // namespace snipehall::test
