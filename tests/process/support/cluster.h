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

// A service of the cluster and the targets to start for it. The target
// processes are started with the flags that match `config` (slots, keyed,
// checks_orders), followed by `target_options`.
struct ServiceSpec {
  ServiceConfig config;
  int targets_per_zone = 1;
  std::vector<std::string> target_options = {};
};

// Parameters of Cluster.
struct ClusterOptions {
  std::vector<ZoneName> zones = {"zone-a"};
  int instances_per_zone = 2;
  std::vector<ServiceSpec> services;
  std::vector<TenantConfig> tenants = {};
  // Connects the zones to each other and to the platform through relays, as
  // PartitionZone() requires.
  bool relays = false;
  // Delay in milliseconds with which the instance lists show a change. Passed
  // as --lag-ms.
  int instance_list_lag_ms = 0;
};

// Returns the configuration of a service with one request class, "default". If
// the service is keyed, the hash space is divided equally among the zones.
// `slots` is the number of concurrent requests per target.
ServiceConfig MakeService(const std::string& name,
                          bool keyed,
                          const std::vector<ZoneName>& zones,
                          int slots);

// A running instance and its addresses.
struct InstanceNode {
  InstanceId id;
  ZoneName zone;
  Process process;
  std::string settings_file;
  std::string caller_address;
  std::string peer_address;
  std::string admin_address;
};

// A running target.
struct TargetNode {
  TargetId id;
  ServiceName service;
  ZoneName zone;
  Process process;
  std::string address;
  std::string history_file;
  bool leaving = false;
};

// A complete system on this machine: stand-ins for the platform, targets and
// instances as separate processes, with a published configuration. The
// destructor kills all processes.
class Cluster {
 public:
  // Starts all processes and waits until every instance is ready and serves
  // every service. Throws TestFailure on timeout.
  explicit Cluster(ClusterOptions options);

  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  const std::string& log_address() const { return m_log_address; }

  std::vector<std::unique_ptr<InstanceNode>>& instances() {
    return m_instances;
  }
  std::vector<std::unique_ptr<TargetNode>>& targets() { return m_targets; }
  // The node with this id. Throws TestFailure if there is none.
  InstanceNode& instance(std::string_view id);
  TargetNode& target(std::string_view id);

  // The caller listeners of all instances, or of the instances in one zone.
  std::vector<std::string> CallerAddresses() const;
  std::vector<std::string> CallerAddresses(std::string_view zone) const;

  // Reads the log from its start and returns the resulting state.
  ClusterState ReplayLog() const;
  // The target that owns the key according to the log; empty if none does.
  TargetId OwnerOf(std::string_view service, std::string_view key) const;
  // The coordinator, that is the first member, of the lease group that the key
  // belongs to.
  InstanceId CoordinatorOf(std::string_view service,
                           std::string_view key) const;

  // Waits until every instance answers /readyz with 200. Throws TestFailure if
  // `deadline` passes first.
  void WaitUntilReady(Clock::time_point deadline);

  // Waits until a request through every instance succeeds for every service and
  // each of a set of probe keys. Throws TestFailure if `deadline` passes first.
  void WaitUntilServed(Clock::time_point deadline);

  // Sends the current instances and targets to the instance lists. Call it
  // after changing a node's address or `leaving`.
  void PublishInstances();

  // Appends the configuration to the log, based on the latest version.
  void PublishConfiguration(const Configuration& configuration);

  // Starts the node's process again with the same arguments. Call it after the
  // previous process has ended.
  void RestartInstance(InstanceNode& node);
  void RestartTarget(TargetNode& node);

  // Disconnects a zone from the other zones and the platform, or connects it
  // again. Requires ClusterOptions::relays.
  void PartitionZone(std::string_view zone);
  void ReconnectZone(std::string_view zone);

  // Paths of the execution histories that the targets write.
  std::vector<std::string> HistoryFiles() const;

 private:
  // A relay and the two zones that it connects. An empty name stands for the
  // platform.
  struct ZoneLink {
    ZoneName from;
    ZoneName to;
    std::unique_ptr<Relay> relay;
  };

  std::string FilePath(const std::string& name) const;
  void StartPlatform();
  void StartTargets();
  void StartInstances();
  // Waits until the instance has written its listener addresses to its file.
  void AwaitAddresses(InstanceNode& node);
  // The address at which processes in zone `from` reach `address` in zone `to`.
  // Starts a relay the first time if the connection needs one.
  std::string AddressFrom(const ZoneName& from,
                          const ZoneName& to,
                          const std::string& address);

  ClusterOptions m_options;
  TemporaryDirectory m_directory;
  std::vector<Process> m_platform_processes;
  std::string m_log_address;
  std::map<ZoneName, std::string> m_list_addresses;
  std::vector<std::unique_ptr<TargetNode>> m_targets;
  std::vector<std::unique_ptr<InstanceNode>> m_instances;
  std::vector<ZoneLink> m_zone_links;
  std::uint64_t m_probe_count = 0;
  // Relay addresses by "from>address".
  std::map<std::string, std::string> m_relay_addresses;
};

}  // namespace snipehall::test
