#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "process/support/wait_until.h"

namespace snipehall::test {

// A child process. The destructor kills it with SIGKILL and waits for its end.
class Process {
 public:
  // Starts the program `arguments[0]` with these arguments. Its standard output
  // is a pipe to ReadLine(); its standard error is appended to `error_file`.
  // Throws if the process cannot be started.
  Process(std::vector<std::string> arguments, const std::string& error_file);
  ~Process();

  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;

  pid_t pid() const { return m_pid; }
  const std::vector<std::string>& arguments() const { return m_arguments; }

  // Reads a line from the child's standard output and returns it without the
  // newline. Throws TestFailure if the output ends or `deadline` passes first.
  std::string ReadLine(Clock::time_point deadline);

  // Sends a signal. Has no effect after Wait() has returned a status.
  void Signal(int signal) const;

  // Waits until the child has ended. Returns its exit status, or the negated
  // number of the signal that killed it, or nullopt if `deadline` passes first.
  std::optional<int> Wait(Clock::time_point deadline);

 private:
  void KillAndClose() noexcept;

  std::vector<std::string> m_arguments;
  pid_t m_pid = -1;
  int m_stdout_fd = -1;
  std::string m_stdout_buffer;
};

}  // namespace snipehall::test
