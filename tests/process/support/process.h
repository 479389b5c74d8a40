#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "process/support/wait_until.h"

namespace snipehall::test {

// A child process. The destructor ends it by its id, with SIGKILL.
class Process {
 public:
  // Starts `arguments[0]`. Standard output is a pipe, standard error is
  // appended to `error_file`. Throws when the process cannot be started.
  Process(std::vector<std::string> arguments, const std::string& error_file);
  ~Process();

  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;

  pid_t pid() const { return m_pid; }
  const std::vector<std::string>& arguments() const { return m_arguments; }

  // Reads a line from the child's standard output, without its end. Throws
  // when the output ends or `deadline` passes first.
  std::string ReadLine(Clock::time_point deadline);

  // Sends a signal; does nothing once the child has been waited for.
  void Signal(int signal) const;

  // Waits for the end. Returns the exit status, or minus the number of the
  // signal that ended the child; nothing when `deadline` passes first.
  std::optional<int> Wait(Clock::time_point deadline);

 private:
  void Release() noexcept;

  std::vector<std::string> m_arguments;
  pid_t m_pid = -1;
  int m_output = -1;
  std::string m_unread;
};

}  // namespace snipehall::test
