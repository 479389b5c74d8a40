#pragma once

#include <filesystem>
#include <string>

#include "state/result.h"

namespace snipehall {

// Actual listen addresses of the daemon, "IP-number:port".
struct ListenAddresses {
  std::string callers;
  std::string peers;
  std::string admin;
};

// Writes the addresses as a JSON object. Writes a temporary file and renames
// it, so that readers never see a partial file. Fails with kUnavailable.
Result<void> WriteAddressesFile(const std::filesystem::path& file,
                                const ListenAddresses& addresses);

}  // namespace snipehall
