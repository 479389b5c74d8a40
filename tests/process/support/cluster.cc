#include "process/support/cluster.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include "protocol/platform_protocol.h"
#include "protocol/record_codec.h"
#include "state/hash_range.h"

namespace snipehall::test {

namespace {

namespace json = boost::json;

constexpr std::chrono::seconds kStartTimeout{20};
constexpr std::chrono::seconds kReadyTimeout{30};
constexpr std::chrono::seconds kProbeTimeout{2};
// Enough keys for each of a few hash ranges to contain at least one.
constexpr int kProbeKeys = 32;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

template <typename Node>
Node& FindNode(std::vector<std::unique_ptr<Node>>& nodes, std::string_view id) {
  const auto found =
      std::find_if(nodes.begin(), nodes.end(),
                   [id](const auto& node) { return node->id == id; });
  Require(found != nodes.end(), "unknown node " + std::string(id));
  return **found;
}

bool IsReady(const InstanceNode& node) {
  const auto reply =
      HttpClient(node.admin_address)
          .Send({.path = "/readyz"}, Clock::now() + std::chrono::seconds(1));
  return reply.has_value() && reply->status == 200;
}

}  // namespace

ServiceConfig MakeService(const std::string& name,
                          bool keyed,
                          const std::vector<ZoneName>& zones,
                          int slots) {
  ServiceConfig config;
  config.name = name;
  config.keyed = keyed;
  config.slots_per_endpoint = slots;
  config.default_class = "default";
  ClassConfig only;
  only.name = "default";
  only.default_deadline = Milliseconds(5000);
  config.classes.push_back(only);
  if (!keyed) {
    return config;
  }
  const std::uint64_t width = UINT64_MAX / zones.size();
  for (std::size_t i = 0; i < zones.size(); ++i) {
    const bool is_last = i + 1 == zones.size();
    const HashRange range{i * width,
                          is_last ? UINT64_MAX : (i + 1) * width - 1};
    config.key_ranges.push_back({range, zones[i]});
  }
  return config;
}

Cluster::Cluster(ClusterOptions options) : m_options(std::move(options)) {
  StartPlatform();
  StartTargets();
  StartInstances();
  PublishInstances();
  Configuration configuration;
  for (const ZoneName& zone : m_options.zones) {
    configuration.zones.push_back({zone, "region"});
  }
  for (const ServiceSpec& service : m_options.services) {
    configuration.services.push_back(service.config);
  }
  configuration.tenants = m_options.tenants;
  PublishConfiguration(configuration);
  WaitUntilReady(Clock::now() + kReadyTimeout);
  WaitUntilServed(Clock::now() + kReadyTimeout);
}

InstanceNode& Cluster::instance(std::string_view id) {
  return FindNode(m_instances, id);
}

TargetNode& Cluster::target(std::string_view id) {
  return FindNode(m_targets, id);
}

std::vector<std::string> Cluster::CallerAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& node : m_instances) {
    addresses.push_back(node->caller_address);
  }
  return addresses;
}

std::vector<std::string> Cluster::CallerAddresses(std::string_view zone) const {
  std::vector<std::string> addresses;
  for (const auto& node : m_instances) {
    if (node->zone == zone) {
      addresses.push_back(node->caller_address);
    }
  }
  return addresses;
}

ClusterState Cluster::ReplayLog() const {
  HttpClient client(m_log_address);
  ClusterState state;
  for (;;) {
    const auto read = ParseLogRead(
        client.Get("/v1/records?from=" + std::to_string(state.offset() + 1)));
    Require(read.has_value(), "malformed response to a log read");
    if (read.value().entries.empty()) {
      return state;
    }
    for (const LogEntry& entry : read.value().entries) {
      if (entry.record.has_value()) {
        state.Apply(entry.offset, *entry.record);
      } else {
        state.Skip(entry.offset);
      }
    }
  }
}

TargetId Cluster::OwnerOf(std::string_view service,
                          std::string_view key) const {
  const ClusterState state = ReplayLog();
  const ServiceAssignment* assignment = state.FindAssignment(service);
  const OwnedRange* range =
      assignment == nullptr ? nullptr : assignment->Find(HashKey(key));
  return range == nullptr ? TargetId() : range->owner;
}

InstanceId Cluster::CoordinatorOf(std::string_view service,
                                  std::string_view key) const {
  const ClusterState state = ReplayLog();
  const ServiceAssignment* assignment = state.FindAssignment(service);
  const OwnedRange* range =
      assignment == nullptr ? nullptr : assignment->Find(HashKey(key));
  Require(range != nullptr, "the key has no owner");
  const GroupMembers* group = state.FindGroup(range->group);
  Require(group != nullptr && !group->members.empty(),
          "the lease group is empty");
  return group->members.front();
}

void Cluster::WaitUntilReady(Clock::time_point deadline) {
  for (const auto& node : m_instances) {
    const bool ready = WaitUntil(deadline, [&node] { return IsReady(*node); });
    Require(ready, node->id + " is not ready; its log:\n" +
                       ReadFile(FilePath(node->id + ".errors")));
  }
}

void Cluster::WaitUntilServed(Clock::time_point deadline) {
  for (const auto& node : m_instances) {
    HttpClient client(node->caller_address);
    for (const ServiceSpec& service : m_options.services) {
      for (int key = 0; key < kProbeKeys; ++key) {
        std::string last;
        const bool served = WaitUntil(deadline, [&] {
          const auto reply = client.Send(
              {.path = "/probe",
               .headers = {{"Snipehall-Service", service.config.name},
                           {"Snipehall-Key", "probe-" + std::to_string(key)},
                           {"Snipehall-Request-Id",
                            "probe-" + std::to_string(++m_probe_count)}}},
              Clock::now() + kProbeTimeout);
          last = reply.has_value()
                     ? std::to_string(reply->status) + " " + reply->body
                     : "no response";
          return reply.has_value() && reply->status == 200;
        });
        Require(served, node->id + " does not serve " + service.config.name +
                            ": " + last);
      }
    }
  }
}

void Cluster::PublishInstances() {
  for (const ZoneName& viewer : m_options.zones) {
    std::vector<PlatformInstance> list;
    for (const auto& node : m_instances) {
      list.push_back({node->id, PlatformRole::kEntry, "", node->zone,
                      AddressFrom(viewer, node->zone, node->peer_address),
                      false});
    }
    for (const auto& node : m_targets) {
      list.push_back(
          {node->id, PlatformRole::kTarget, node->service, node->zone,
           AddressFrom(viewer, node->zone, node->address), node->leaving});
    }
    HttpClient(m_list_addresses.at(viewer))
        .Put("/test/instances", EncodeInstanceList(list));
  }
}

void Cluster::PublishConfiguration(const Configuration& configuration) {
  const ClusterState state = ReplayLog();
  Record record;
  record.id = "operator-" + std::to_string(state.offset() + 1);
  record.author = "test";
  record.based_on =
      state.configuration() == nullptr ? 0 : state.configuration()->offset;
  record.body = ConfigurationRecord{configuration, "test", 0};
  HttpClient(m_log_address).Post("/v1/records", EncodeRecord(record));
}

void Cluster::RestartInstance(InstanceNode& node) {
  std::filesystem::remove(FilePath(node.id + ".addresses"));
  node.process =
      Process(node.process.arguments(), FilePath(node.id + ".errors"));
  AwaitAddresses(node);
  PublishInstances();
}

void Cluster::RestartTarget(TargetNode& node) {
  node.process =
      Process(node.process.arguments(), FilePath(node.id + ".errors"));
  node.address = ReadAddress(node.process);
  PublishInstances();
}

void Cluster::PartitionZone(std::string_view zone) {
  Require(m_options.relays, "the cluster has no relays");
  for (const ZoneLink& link : m_zone_links) {
    if (link.from == zone || link.to == zone) {
      link.relay->Pause();
    }
  }
}

void Cluster::ReconnectZone(std::string_view zone) {
  for (const ZoneLink& link : m_zone_links) {
    if (link.from == zone || link.to == zone) {
      link.relay->Resume();
    }
  }
}

std::vector<std::string> Cluster::HistoryFiles() const {
  std::vector<std::string> files;
  for (const auto& node : m_targets) {
    files.push_back(node->history_file);
  }
  return files;
}

std::string Cluster::FilePath(const std::string& name) const {
  return m_directory.path() / name;
}

void Cluster::StartPlatform() {
  m_platform_processes.emplace_back(std::vector{StandinPath("log_service")},
                                    FilePath("log.errors"));
  m_log_address = ReadAddress(m_platform_processes.back());
  for (const ZoneName& zone : m_options.zones) {
    m_platform_processes.emplace_back(
        std::vector{StandinPath("instance_list"), std::string("--lag-ms"),
                    std::to_string(m_options.instance_list_lag_ms)},
        FilePath("list.errors"));
    m_list_addresses[zone] = ReadAddress(m_platform_processes.back());
  }
}

void Cluster::StartTargets() {
  for (const ServiceSpec& service : m_options.services) {
    for (const ZoneName& zone : m_options.zones) {
      for (int number = 1; number <= service.targets_per_zone; ++number) {
        const TargetId id =
            service.config.name + "-" + zone + "-" + std::to_string(number);
        const std::string history = FilePath(id + ".history");
        std::vector<std::string> arguments{
            StandinPath("target"),
            "--id",
            id,
            "--service",
            service.config.name,
            "--zone",
            zone,
            "--slots",
            std::to_string(service.config.slots_per_endpoint),
            "--history-file",
            history};
        if (service.config.keyed) {
          arguments.emplace_back("--keyed");
        }
        if (service.config.checks_orders) {
          arguments.emplace_back("--checks-orders");
        }
        arguments.insert(arguments.end(), service.target_options.begin(),
                         service.target_options.end());
        Process process(std::move(arguments), FilePath(id + ".errors"));
        std::string address = ReadAddress(process);
        m_targets.push_back(std::make_unique<TargetNode>(
            TargetNode{id, service.config.name, zone, std::move(process),
                       std::move(address), history}));
      }
    }
  }
}

void Cluster::StartInstances() {
  for (const ZoneName& zone : m_options.zones) {
    const std::string log = AddressFrom(zone, "", m_log_address);
    const std::string list = AddressFrom(zone, "", m_list_addresses.at(zone));
    for (int number = 1; number <= m_options.instances_per_zone; ++number) {
      const InstanceId id = "entry-" + zone + "-" + std::to_string(number);
      const std::string settings = FilePath(id + ".settings");
      WriteFile(settings, json::serialize(json::object{
                              {"instance", id},
                              {"zone", zone},
                              {"caller_address", "127.0.0.1:0"},
                              {"peer_address", "127.0.0.1:0"},
                              {"admin_address", "127.0.0.1:0"},
                              {"log_address", log},
                              {"instance_list_address", list},
                              {"addresses_file", FilePath(id + ".addresses")},
                              {"shutdown_limit_ms", 30000}}));
      Process process({DaemonPath(), "--settings", settings},
                      FilePath(id + ".errors"));
      m_instances.push_back(std::make_unique<InstanceNode>(
          InstanceNode{id, zone, std::move(process), settings, "", "", ""}));
    }
  }
  for (const auto& node : m_instances) {
    AwaitAddresses(*node);
  }
}

void Cluster::AwaitAddresses(InstanceNode& node) {
  json::value addresses;
  const bool written = WaitUntil(Clock::now() + kStartTimeout, [&] {
    boost::system::error_code failure;
    addresses =
        json::parse(ReadFile(FilePath(node.id + ".addresses")), failure);
    return !failure;
  });
  Require(written, node.id + " did not write its addresses; its log:\n" +
                       ReadFile(FilePath(node.id + ".errors")));
  const json::object& object = addresses.as_object();
  node.caller_address = object.at("callers").as_string();
  node.peer_address = object.at("peers").as_string();
  node.admin_address = object.at("admin").as_string();
}

std::string Cluster::AddressFrom(const ZoneName& from,
                                 const ZoneName& to,
                                 const std::string& address) {
  if (!m_options.relays || from == to) {
    return address;
  }
  std::string& relay_address = m_relay_addresses[from + ">" + address];
  if (relay_address.empty()) {
    m_zone_links.push_back({from, to, std::make_unique<Relay>(address)});
    relay_address = m_zone_links.back().relay->address();
  }
  return relay_address;
}

}  // namespace snipehall::test
