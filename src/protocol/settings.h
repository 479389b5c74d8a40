#pragma once

#include <filesystem>
#include <string>
#include <string_view>

#include "state/result.h"
#include "state/types.h"

namespace snipehall {

// Settings of one daemon, read from a JSON file. Addresses are
// "IP-number:port"; port 0 lets the system choose.
struct Settings {
  InstanceId instance;
  ZoneName zone;
  std::string caller_address;
  std::string peer_address;
  std::string admin_address = "127.0.0.1:0";
  std::string log_address;
  std::string instance_list_address;
  // File with the administration token; empty: none is needed, which is
  // allowed on loopback only.
  std::string admin_token_file;
  // Where the daemon writes the addresses that it listens on, as JSON, once it
  // listens; empty: nowhere.
  std::string addresses_file;
  // Time that a graceful shutdown may take before the process ends.
  Milliseconds shutdown_limit{600000};
};

// Reads and checks settings. Errors name the field's JSON pointer, the value
// and what is allowed.
Result<Settings> ParseSettings(std::string_view json);
Result<Settings> LoadSettings(const std::filesystem::path& file);

}  // namespace snipehall
