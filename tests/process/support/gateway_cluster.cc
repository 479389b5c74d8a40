#include "process/support/gateway_cluster.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <random>
#include <set>

#include "platform/store_records.h"
#include "protocol/key_table_codec.h"

namespace snipehall::test {

namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

constexpr const char* kConfigurationTemplate = R"({"Version":%VERSION%,
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":%BODY%,
"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"},
"Listeners":[{"Host":"shop.example","Rules":[
{"Name":"catalog","Kind":"idempotent","TargetLatency":"600ms","Priority":2,
"Match":{"PathPrefix":"/catalog/"},"Action":{"Service":"catalog",
"Timeout":"%TIMEOUT%ms","MaxAttempts":2}},
{"Name":"booking","Kind":"non_idempotent","TargetLatency":"800ms","Priority":1,
"Match":{"PathPrefix":"/booking/"},"Action":{"Service":"booking",
"Timeout":"2000ms","MaxAttempts":2}}%ROUTES%]}],
"Clusters":[
{"Name":"catalog","HealthPath":"/health","MaxConnections":130,"Protocol":"h1",
"Tls":false,"ColdPerS":%COLD%,"Sharded":true,"WarmUp":"3s","Grants":"call"},
{"Name":"booking","HealthPath":"/health","MaxConnections":130,
"Protocol":"h1","Tls":false,"ColdPerS":%COLD%}]})";

constexpr const char* kRouteTemplate =
    R"(,{"Name":"catalog-%NUMBER%","Kind":"idempotent","TargetLatency":"600ms",
"Priority":2,"Match":{"PathPrefix":"/catalog-%NUMBER%/"},"Action":{
"Service":"catalog","Timeout":"2000ms","MaxAttempts":2}})";

constexpr const char* kSettingsTemplate = R"(
[Local]
NodeName = "%NAME%"
Ip = "127.0.0.1"
Zone = "%ZONE%"
[Local.Limits]
MemoryMb = %MEMORY%
MaxFds = %DESCRIPTORS%
[Network]
InternalPorts = [%PEER%, %PEER%]
[Network.Listen]
Front = "%FRONT%"
Ready = "%READY%"
[Platform.Platform]
Address = "%STORE%"
[Terms.Bounds]
ColdOverage = 1.5
ColdSlack = 8.0
RetryBudgetRatio = 0.2
RetryBudgetBase = 124
BudgetWindow = "10s"
Grace = "6s"
)";

// Replaces each marker %NAME% in `text` by the value of NAME.
std::string FillTemplate(std::string text,
                         const std::map<std::string, std::string>& values) {
  for (const auto& [name, value] : values) {
    const std::string marker = "%" + name + "%";
    for (std::size_t at = text.find(marker); at != std::string::npos;
         at = text.find(marker, at)) {
      text.replace(at, marker.size(), value);
    }
  }
  return text;
}

// Whether a process can listen at the port, for connections and for datagrams.
bool IsFree(unsigned short port) {
  boost::asio::io_context context;
  const auto address = boost::asio::ip::address_v4::loopback();
  boost::system::error_code error;
  tcp::acceptor acceptor(context);
  acceptor.open(tcp::v4());
  acceptor.bind({address, port}, error);
  if (error) {
    return false;
  }
  udp::socket socket(context, udp::v4());
  socket.bind({address, port}, error);
  return !error;
}

// Returns a port that is currently free and was not returned before. It is
// below the range of ports that the kernel assigns, so that no other socket
// gets it before the process that it is meant for is listening.
std::string ChoosePort() {
  constexpr unsigned short kFirst = 12000;
  constexpr unsigned short kLast = 32767;
  static std::set<unsigned short> used_ports;
  static std::mt19937 random{std::random_device{}()};
  std::uniform_int_distribution<unsigned short> distribution(kFirst, kLast);
  for (;;) {
    const unsigned short port = distribution(random);
    if (!used_ports.contains(port) && IsFree(port)) {
      used_ports.insert(port);
      return std::to_string(port);
    }
  }
}

std::string ChooseAddress() {
  return "127.0.0.1:" + ChoosePort();
}

// Returns the last lines of a file, or an empty string if it cannot be read.
std::string LastLines(const std::filesystem::path& path) {
  constexpr std::size_t kMaxLines = 20;
  std::ifstream file(path);
  std::deque<std::string> lines;
  for (std::string line; std::getline(file, line);) {
    lines.push_back(line + "\n");
    if (lines.size() > kMaxLines) {
      lines.pop_front();
    }
  }
  return std::accumulate(lines.begin(), lines.end(), std::string());
}

std::vector<std::string> ReadLines(const std::filesystem::path& path) {
  std::vector<std::string> lines;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    lines.push_back(line);
  }
  return lines;
}

std::string GatewayPath() {
  return std::string(SNIPEHALL_BIN_DIR) + "/platform/snipehall-gateway";
}

}  // namespace

GatewayCluster::GatewayCluster(const Options& options)
    : m_work_ms(options.work_ms),
      m_initial_refusals(options.initial_refusals),
      m_cold_ms(options.cold_ms),
      m_cold_rate(options.cold_rate),
      m_rate_limit(options.rate_limit),
      m_target_links(options.target_links),
      m_memory_mb(options.memory_mb),
      m_max_descriptors(options.max_descriptors),
      m_max_body_bytes(options.max_body_bytes) {
  const std::string errors = (m_directory.path() / "errors").string();
  m_store = std::make_unique<Process>(
      std::vector<std::string>{StandinPath("store")}, errors);
  m_store_address = ReadAddress(*m_store);
  PublishConfiguration(1, 2000);
  for (int i = 0; i < options.keyed_targets + options.unkeyed_targets; ++i) {
    Target target;
    target.keyed = i < options.keyed_targets;
    target.name = (target.keyed ? "catalog-" : "booking-") + std::to_string(i);
    target.zone = "zone-" + std::to_string(i % options.target_zones + 1);
    m_targets.push_back(std::move(target));
    StartTarget(m_targets.back());
  }
  for (int i = 0; i < options.gateways; ++i) {
    Gateway gateway;
    gateway.name = "entry-" + std::to_string(i + 1);
    gateway.address = ChooseAddress();
    gateway.status_address = ChooseAddress();
    gateway.zone = "zone-" + std::to_string(options.target_links ? i + 1 : 1);
    gateway.store_link = std::make_unique<Relay>(m_store_address);
    if (m_target_links) {
      for (const Target& target : m_targets) {
        LinkTarget(gateway, target.address);
      }
    }
    gateway.settings_file =
        (m_directory.path() / (gateway.name + ".toml")).string();
    WriteSettings(gateway, ChoosePort());
    m_gateways.push_back(std::move(gateway));
    Restart(m_gateways.size() - 1);
  }
}

void GatewayCluster::LinkTarget(Gateway& gateway, const std::string& address) {
  gateway.target_links.push_back(std::make_unique<Relay>(address));
  Relay& link = *gateway.target_links.back();
  if (gateway.cut_off) {
    link.Refuse(true);
  }
  ControlStore(
      "/test/view",
      boost::json::serialize(boost::json::object{
          {"host", gateway.store_link->address()},
          {"addresses", boost::json::object{{address, link.address()}}}}));
}

void GatewayCluster::CutOffFromTargets(std::size_t gateway, bool cut_off) {
  m_gateways[gateway].cut_off = cut_off;
  for (const std::unique_ptr<Relay>& link : m_gateways[gateway].target_links) {
    link->Refuse(cut_off);
  }
}

void GatewayCluster::WriteSettings(const Gateway& gateway,
                                   const std::string& peer_port) {
  std::ofstream(gateway.settings_file) << FillTemplate(
      kSettingsTemplate, {{"NAME", gateway.name},
                          {"ZONE", gateway.zone},
                          {"MEMORY", std::to_string(m_memory_mb)},
                          {"DESCRIPTORS", std::to_string(m_max_descriptors)},
                          {"PEER", peer_port},
                          {"FRONT", gateway.address},
                          {"READY", gateway.status_address},
                          {"STORE", gateway.store_link->address()}});
}

void GatewayCluster::StartTarget(Target& target) {
  target.address = ChooseAddress();
  if (m_target_links) {
    for (Gateway& gateway : m_gateways) {
      LinkTarget(gateway, target.address);
    }
  }
  ++target.starts;
  std::vector<std::string> arguments = {
      StandinPath("keyed_target"),
      "--listen",
      target.address,
      "--id",
      target.name + "." + std::to_string(target.starts),
      "--service",
      target.keyed ? "catalog" : "booking",
      "--zone",
      target.zone,
      "--cold-ms",
      std::to_string(m_cold_ms),
      "--store",
      m_store_address,
      "--events",
      (m_directory.path() / "events").string(),
      "--refused",
      std::to_string(m_initial_refusals),
      "--work-ms",
      std::to_string(m_work_ms),
      "--rate-limit",
      m_rate_limit,
      "--poison",
      "poison"};
  if (target.keyed) {
    arguments.emplace_back("--keyed");
  }
  target.process = std::make_unique<Process>(
      std::move(arguments), (m_directory.path() / "errors").string());
}

void GatewayCluster::WaitUntilReady(Clock::time_point deadline) {
  for (std::size_t i = 0; i < m_gateways.size(); ++i) {
    if (!WaitUntil(deadline, [this, i] { return IsReady(i); })) {
      throw TestFailure(m_gateways[i].name + " is not ready\n" +
                        LastLines(m_directory.path() / "errors") +
                        LastLines(m_directory.path() / m_gateways[i].name));
    }
  }
}

bool GatewayCluster::IsReady(std::size_t gateway) const {
  HttpClient client(m_gateways[gateway].status_address);
  const auto reply = client.Send({.path = "/readyz"},
                                 Clock::now() + std::chrono::milliseconds(500));
  return reply && reply->status == 200;
}

std::string GatewayCluster::Leader(std::size_t gateway) const {
  HttpClient client(m_gateways[gateway].status_address);
  const auto reply = client.Send({.path = "/keys"},
                                 Clock::now() + std::chrono::milliseconds(500));
  const auto table =
      reply ? DecodeKeyTable(reply->body) : Result<KeyTable>(KeyTable());
  return table ? table.value().leader : std::string();
}

std::optional<double> GatewayCluster::Metric(std::size_t gateway,
                                             const std::string& name) const {
  HttpClient client(m_gateways[gateway].status_address);
  const auto reply = client.Send({.path = "/metrics"},
                                 Clock::now() + std::chrono::milliseconds(500));
  const std::string label = "{name=\"" + name + "\"} ";
  const std::size_t found = reply ? reply->body.find(label) : std::string::npos;
  if (found == std::string::npos) {
    return std::nullopt;
  }
  return std::strtod(reply->body.c_str() + found + label.size(), nullptr);
}

std::size_t GatewayCluster::PeakResidentBytes(std::size_t gateway) const {
  constexpr std::string_view kPeak = "VmHWM:";
  std::ifstream file("/proc/" +
                     std::to_string(m_gateways[gateway].process->pid()) +
                     "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(kPeak)) {
      return std::strtoull(line.c_str() + kPeak.size(), nullptr, 10) << 10;
    }
  }
  throw TestFailure("the gateway's memory cannot be read");
}

std::size_t GatewayCluster::OpenDescriptors(std::size_t gateway) const {
  const std::filesystem::directory_iterator entries(
      "/proc/" + std::to_string(m_gateways[gateway].process->pid()) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

void GatewayCluster::Signal(std::size_t gateway, int signal) {
  m_gateways[gateway].process->Signal(signal);
}

std::optional<int> GatewayCluster::WaitForExit(std::size_t gateway,
                                               Clock::time_point deadline) {
  return m_gateways[gateway].process->Wait(deadline);
}

void GatewayCluster::Restart(std::size_t index) {
  Gateway& gateway = m_gateways[index];
  gateway.process = std::make_unique<Process>(
      std::vector<std::string>{GatewayPath(), "--settings",
                               gateway.settings_file, "--log",
                               (m_directory.path() / gateway.name).string()},
      (m_directory.path() / "errors").string());
}

void GatewayCluster::SignalTarget(std::size_t target, int signal) {
  m_targets[target].process->Signal(signal);
}

bool GatewayCluster::HasTargetExited(std::size_t target) {
  return m_targets[target].process->Wait(Clock::now()).has_value();
}

void GatewayCluster::ReplaceTarget(std::size_t target) {
  Target& old = m_targets[target];
  old.process->Signal(SIGKILL);
  old.process->Wait(Clock::now() + std::chrono::seconds(5));
  std::ofstream(m_directory.path() / "events", std::ios::app)
      << R"({"event":"dead","target":")" << old.name << '.' << old.starts
      << "\"}\n";
  StartTarget(m_targets[target]);
}

void GatewayCluster::ControlStore(const std::string& path,
                                  const std::string& body) {
  HttpClient(m_store_address).Post(path, body);
}

void GatewayCluster::PublishConfiguration(int version, int timeout_ms) {
  AppendOperatorRecord("config",
                       FillTemplate(kConfigurationTemplate,
                                    {{"VERSION", std::to_string(version)},
                                     {"TIMEOUT", std::to_string(timeout_ms)},
                                     {"BODY", std::to_string(m_max_body_bytes)},
                                     {"COLD", std::to_string(m_cold_rate)},
                                     {"ROUTES", ""}}));
}

void GatewayCluster::PublishLargeConfiguration(int version, int routes) {
  std::string rules;
  for (int i = 0; i < routes; ++i) {
    rules += FillTemplate(kRouteTemplate, {{"NUMBER", std::to_string(i)}});
  }
  AppendOperatorRecord("config",
                       FillTemplate(kConfigurationTemplate,
                                    {{"VERSION", std::to_string(version)},
                                     {"TIMEOUT", "2000"},
                                     {"BODY", std::to_string(m_max_body_bytes)},
                                     {"COLD", std::to_string(m_cold_rate)},
                                     {"ROUTES", rules}}));
}

void GatewayCluster::AppendOperatorRecord(const std::string& key,
                                          const std::string& value) {
  HttpClient(m_store_address)
      .Post("/-/log-append?Topic=keyed.op&part=0",
            platform::EncodeRecord({key, value}));
}

void GatewayCluster::AppendTargetRecord(const std::string& record) {
  HttpClient(m_store_address)
      .Post("/-/log-append?Topic=keyed.servers&part=0", record);
}

std::vector<std::string> GatewayCluster::Events() const {
  return ReadLines(m_directory.path() / "events");
}

std::vector<std::string> GatewayCluster::LogLines(std::size_t gateway) const {
  return ReadLines(m_directory.path() / m_gateways[gateway].name);
}

}  // namespace snipehall::test
