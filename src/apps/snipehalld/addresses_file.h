#pragma once

#include <filesystem>
#include <string>

#include "state/result.h"

namespace snipehall {

// Addresses that the daemon listens on, "IP-number:port".
struct ListenAddresses {
  std::string callers;
  std::string peers;
  std::string admin;
};

// Writes the addresses as a JSON object. Writes to a temporary name and
// renames, so that a reader never sees a part. Fails with kUnavailable.
Result<void> WriteAddressesFile(const std::filesystem::path& file,
                                const ListenAddresses& addresses);

}  // namespace snipehall
