#pragma once

#include <filesystem>
#include <string>

#include "process/support/process.h"

namespace snipehall::test {

// A directory that is removed with its contents by the destructor. It is kept
// when the environment variable SNIPEHALL_KEEP_TEST_FILES is set.
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

// Path of a stand-in program, for example "log_service".
std::string StandinPath(const std::string& name);

// Path of the daemon.
std::string DaemonPath();

// Reads the line in which a stand-in says where it listens.
std::string ReadAddress(Process& process);

}  // namespace snipehall::test
