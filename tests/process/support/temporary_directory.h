#pragma once

#include <filesystem>
#include <string>

#include "process/support/process.h"

namespace snipehall::test {

// Creates a directory; the destructor removes it with its contents, unless the
// environment variable SNIPEHALL_KEEP_TEST_FILES is set.
class TemporaryDirectory {
 public:
  TemporaryDirectory();
  ~TemporaryDirectory();

  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  const std::filesystem::path& path() const { return m_path; }

 private:
  std::filesystem::path m_path;
};

// Path of the stand-in program with this name, for example "log_service".
std::string StandinPath(const std::string& name);

// Path of the program snipehalld.
std::string DaemonPath();

// Reads the line that a stand-in prints at its start and returns the listener
// address in it. Throws TestFailure if it is not printed within 10 s.
std::string ReadAddress(Process& process);

}  // namespace snipehall::test
