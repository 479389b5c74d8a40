#include "protocol/settings.h"

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <fstream>
#include <sstream>

#include "protocol/json_schema.h"
#include "protocol/schemas.h"

namespace snipehall {

namespace json = boost::json;

namespace {

// A settings file is a few hundred bytes; a longer one is given by mistake.
constexpr std::size_t kMaxFileBytes = 65536;

auto Invalid(std::string message,
             std::string pointer,
             std::string value,
             std::string allowed) {
  return boost::outcome_v2::failure(
      Error{ErrorCode::kInvalidArgument, std::move(message), std::move(pointer),
            std::move(value), std::move(allowed)});
}

std::string GetString(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value == nullptr ? std::string() : std::string(value->as_string());
}

struct Address {
  boost::asio::ip::address ip;
  unsigned port = 0;
};

std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Address address;
  const std::string_view port = text.substr(colon + 1);
  const auto parsed =
      std::from_chars(port.data(), port.data() + port.size(), address.port);
  std::string_view ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  } else if (ip.find(':') != std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  address.ip = boost::asio::ip::make_address(ip, error);
  if (error || port.empty() || parsed.ec != std::errc() ||
      parsed.ptr != port.data() + port.size() || address.port > 65535) {
    return std::nullopt;
  }
  return address;
}

Result<void> CheckAddress(std::string_view name,
                          const std::string& text,
                          unsigned min_port) {
  const std::optional<Address> address = ParseAddress(text);
  if (!address || address->port < min_port) {
    return Invalid("malformed address", "/" + std::string(name), text,
                   "IP-number:port with a port from " +
                       std::to_string(min_port) +
                       " to 65535, an IPv6 number in brackets");
  }
  return boost::outcome_v2::success();
}

// Checks the addresses, and the rules that concern several fields.
Result<void> ValidateSettings(const Settings& settings) {
  const struct {
    std::string_view name;
    const std::string& text;
    unsigned min_port;
  } addresses[] = {
      {"caller_address", settings.caller_address, 0},
      {"peer_address", settings.peer_address, 0},
      {"admin_address", settings.admin_address, 0},
      {"log_address", settings.log_address, 1},
      {"instance_list_address", settings.instance_list_address, 1},
  };
  for (const auto& entry : addresses) {
    Result<void> checked = CheckAddress(entry.name, entry.text, entry.min_port);
    if (!checked) {
      return checked;
    }
  }
  if (settings.admin_token_file.empty() &&
      !ParseAddress(settings.admin_address)->ip.is_loopback()) {
    return Invalid("administration beyond loopback needs a token",
                   "/admin_address", settings.admin_address,
                   "a loopback address, or admin_token_file as well");
  }
  const std::pair<std::string_view, const std::string&> listeners[] = {
      {"caller_address", settings.caller_address},
      {"peer_address", settings.peer_address},
      {"admin_address", settings.admin_address},
  };
  for (std::size_t i = 0; i < std::size(listeners); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (listeners[i].second == listeners[j].second &&
          ParseAddress(listeners[i].second)->port != 0) {
        return Invalid(
            "two listeners have the same address",
            "/" + std::string(listeners[i].first), listeners[i].second,
            "an address other than " + std::string(listeners[j].first));
      }
    }
  }
  return boost::outcome_v2::success();
}

}  // namespace

Result<Settings> ParseSettings(std::string_view json) {
  static const JsonSchema kSchema(kSettingsSchema);
  const Result<json::value> document = ParseJson(json);
  if (!document) {
    return document.error();
  }
  const std::vector<Error> errors = kSchema.Check(document.value());
  if (!errors.empty()) {
    return errors.front();
  }
  const json::object& object = document.value().as_object();
  Settings settings;
  settings.instance = GetString(object, "instance");
  settings.zone = GetString(object, "zone");
  settings.caller_address = GetString(object, "caller_address");
  settings.peer_address = GetString(object, "peer_address");
  settings.log_address = GetString(object, "log_address");
  settings.instance_list_address = GetString(object, "instance_list_address");
  settings.admin_token_file = GetString(object, "admin_token_file");
  settings.addresses_file = GetString(object, "addresses_file");
  if (object.contains("admin_address")) {
    settings.admin_address = GetString(object, "admin_address");
  }
  if (const json::value* limit = object.if_contains("shutdown_limit_ms")) {
    settings.shutdown_timeout = Milliseconds(limit->as_int64());
  }
  const Result<void> checked = ValidateSettings(settings);
  if (!checked) {
    return checked.error();
  }
  return settings;
}

Result<Settings> LoadSettings(const std::filesystem::path& file) {
  std::ifstream stream(file, std::ios::binary);
  std::string text(kMaxFileBytes + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!stream.is_open() || stream.bad()) {
    return Fail(ErrorCode::kNotFound, "cannot read " + file.string());
  }
  text.resize(static_cast<std::size_t>(stream.gcount()));
  if (text.size() > kMaxFileBytes) {
    return Fail(ErrorCode::kInvalidArgument,
                file.string() + " is longer than " +
                    std::to_string(kMaxFileBytes) + " bytes");
  }
  return ParseSettings(text);
}

}  // namespace snipehall
