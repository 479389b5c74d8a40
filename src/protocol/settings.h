#pragma once

#include <filesystem>
#include <string>
#include <string_view>

#include "state/result.h"
#include "state/types.h"

namespace snipehall {

// Settings of one snipehalld process, read from a JSON file. Addresses have the
// form "IP-number:port". The daemon listens on the caller, peer and
// administration addresses, where port 0 lets the operating system choose one.
struct Settings {
  InstanceId instance;
  ZoneName zone;
  std::string caller_address;
  std::string peer_address;
  std::string admin_address = "127.0.0.1:0";
  std::string log_address;
  std::string instance_list_address;
  // Path of the file with the administration token. If empty, no token is
  // needed; this is allowed only if `admin_address` is a loopback address.
  std::string admin_token_file;
  // Path of the file to which the daemon writes the addresses that it listens
  // on, as JSON, once it listens. If empty, no file is written.
  std::string addresses_file;
  // Longest time that a graceful shutdown may take before the process exits.
  Milliseconds shutdown_timeout{600000};
};

// Parses and validates settings. Returns the first error found, with the
// field's JSON pointer, its value and what is allowed.
Result<Settings> ParseSettings(std::string_view json);

// Parses the settings in `file`. Fails with kNotFound if it cannot be read, and
// with kInvalidArgument if it is too long or its settings are invalid.
Result<Settings> LoadSettings(const std::filesystem::path& file);

}  // namespace snipehall
