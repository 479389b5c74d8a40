#include "process/support/temporary_directory.h"

#include <stdlib.h>

#include <boost/json/parse.hpp>
#include <cerrno>
#include <system_error>

namespace snipehall::test {

TemporaryDirectory::TemporaryDirectory() {
  std::string name =
      std::filesystem::temp_directory_path() / "snipehall-test-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) {
    throw std::system_error(errno, std::generic_category(), name);
  }
  m_path = name;
}

TemporaryDirectory::~TemporaryDirectory() {
  if (std::getenv("SNIPEHALL_KEEP_TEST_FILES") != nullptr) {
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(m_path, ignored);
}

std::string StandinPath(const std::string& name) {
  return std::string(SNIPEHALL_BIN_DIR) + "/tests/standin_" + name;
}

std::string DaemonPath() {
  return std::string(SNIPEHALL_BIN_DIR) + "/src/snipehalld";
}

std::string ReadAddress(Process& process) {
  constexpr std::chrono::seconds kTimeout{10};
  const std::string line = process.ReadLine(Clock::now() + kTimeout);
  return std::string(
      boost::json::parse(line).as_object().at("address").as_string());
}

}  // namespace snipehall::test
