#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "process/support/http_client.h"
#include "process/support/process.h"
#include "process/support/relay.h"
#include "process/support/temporary_directory.h"
#include "state/cluster_state.h"
#include "state/configuration.h"

namespace snipehall::test {

// A service of a cluster. The targets get the options of the configuration
// (slots, keyed, checks_orders) and `target_options`.
struct ServiceSpec {
  ServiceConfig config;
  int targets_per_zone = 1;
  std::vector<std::string> target_options = {};
};

struct ClusterOptions {
  std::vector<ZoneName> zones = {"zone-a"};
  int instances_per_zone = 2;
  std::vector<ServiceSpec> services;
  std::vector<TenantConfig> tenants = {};
  // Puts relays between the zones, and between each zone and the platform.
  bool relays = false;
  // Sent as /test/lag_ms to the instance lists.
  int list_lag_ms = 0;
};

// Makes a service with one class "default" and the whole hash space divided
// equally among the zones if it is keyed.
ServiceConfig MakeService(const std::string& name,
                          bool keyed,
                          const std::vector<ZoneName>& zones,
                          int slots);

// An entry instance with its process.
struct InstanceNode {
  InstanceId id;
  ZoneName zone;
  Process process;
  std::string settings_file;
  std::string caller_address;
  std::string peer_address;
  std::string admin_address;
};

// A target with its process.
struct TargetNode {
  TargetId id;
  ServiceName service;
  ZoneName zone;
  Process process;
  std::string address;
  std::string history_file;
  bool leaving = false;
};

// A whole system on this machine: the platform's stand-ins, targets and entry
// instances, with a configuration in force. The destructor ends all processes.
class Cluster {
 public:
  // Starts everything and waits until each instance is ready and each service
  // is served. Throws when this takes too long.
  explicit Cluster(ClusterOptions options);

  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  const std::string& log_address() const { return m_log_address; }

  std::vector<std::unique_ptr<InstanceNode>>& instances() {
    return m_instances;
  }
  std::vector<std::unique_ptr<TargetNode>>& targets() { return m_targets; }
  InstanceNode& instance(std::string_view id);
  TargetNode& target(std::string_view id);

  // Where callers connect: all instances, or those of one zone.
  std::vector<std::string> CallerAddresses() const;
  std::vector<std::string> CallerAddresses(std::string_view zone) const;

  // Replays the log as it is now.
  ClusterState FoldLog() const;
  // The target that the log says owns the key; empty when none does.
  TargetId OwnerOf(std::string_view service, std::string_view key) const;
  // The first member of the lease group that the key's owner belongs to.
  InstanceId CoordinatorOf(std::string_view service,
                           std::string_view key) const;

  // Waits until every running instance answers /readyz with 200. Throws when
  // `deadline` passes first.
  void WaitReady(Clock::time_point deadline);

  // Waits until every running instance gets an answer from a target of each
  // service, for each of a number of keys. Throws when `deadline` passes first.
  void WaitServed(Clock::time_point deadline);

  // Sends the present list of instances and targets to the instance lists.
  void PublishInstances();

  // Appends the configuration document as an operator would.
  void PublishConfiguration(const Configuration& configuration);

  // Starts a process anew with the same settings, after its end.
  void RestartInstance(InstanceNode& node);
  void RestartTarget(TargetNode& node);

  // Cuts a zone off from the other zones and the platform, and connects it
  // again. Needs relays.
  void CutZone(std::string_view zone);
  void HealZone(std::string_view zone);

  // Paths of all targets' histories.
  std::vector<std::string> HistoryFiles() const;

 private:
  // A relay and the two zones that it connects; empty for the platform.
  struct ZoneLink {
    ZoneName from;
    ZoneName to;
    std::unique_ptr<Relay> relay;
  };

  std::string FilePath(const std::string& name) const;
  void StartPlatform();
  void StartTargets();
  void StartInstances();
  void AwaitAddresses(InstanceNode& node);
  // The address under which a zone reaches `address` in another zone.
  std::string AddressFrom(const ZoneName& from,
                          const ZoneName& to,
                          const std::string& address);

  ClusterOptions m_options;
  TemporaryDirectory m_directory;
  std::vector<Process> m_platform;
  std::string m_log_address;
  std::map<ZoneName, std::string> m_list_addresses;
  std::vector<std::unique_ptr<TargetNode>> m_targets;
  std::vector<std::unique_ptr<InstanceNode>> m_instances;
  std::vector<ZoneLink> m_links;
  std::uint64_t m_probes = 0;
  // By "from>address".
  std::map<std::string, std::string> m_link_addresses;
};

}  // namespace snipehall::test
