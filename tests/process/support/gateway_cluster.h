#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "process/support/http_client.h"
#include "process/support/process.h"
#include "process/support/relay.h"
#include "process/support/temporary_directory.h"

namespace snipehall::test {

// A store, targets and gateways as separate processes on the loopback
// interface. There are two services: "catalog" under /catalog/ is keyed and its
// requests are idempotent; "booking" under /booking/ is not keyed and its
// requests are not idempotent. The destructor kills all processes.
class GatewayCluster {
 public:
  struct Options {
    int gateways = 3;
    int keyed_targets = 4;
    int unkeyed_targets = 2;
    // Number of the targets' availability zones, which are assigned in turn.
    int target_zones = 1;
    // Time after their start for which the targets are cold, and the rate that
    // they bear until then, requests per second; never cold if it is zero.
    int cold_ms = 0;
    int cold_rate = 0;
    // Mean time that a target takes for a request, milliseconds.
    int work_ms = 30;
    // Number of requests that each target refuses after its start although it
    // has free slots.
    int initial_refusals = 0;
    // Rate limit that the targets name, requests per second; none if it is
    // empty.
    std::string rate_limit;
    // Each gateway reaches the targets through relays of its own, and is in an
    // availability zone of its own, so that it reads no addresses from others.
    bool target_links = false;
    // Memory limit in the gateways' settings, MiB; none if it is zero.
    int memory_mb = 0;
    // Limit of open descriptors in the gateways' settings; none if it is zero.
    int max_descriptors = 0;
    // Largest body of a request in the configuration, bytes.
    std::size_t max_body_bytes = std::size_t{64} << 20;
  };

  explicit GatewayCluster(const Options& options);

  // Waits until every gateway is ready. Throws TestFailure if `deadline` passes
  // first.
  void WaitUntilReady(Clock::time_point deadline);

  std::size_t gateways() const { return m_gateways.size(); }
  // The gateway's listener for callers.
  const std::string& address(std::size_t gateway) const {
    return m_gateways[gateway].address;
  }
  bool IsReady(std::size_t gateway) const;
  // Name of the leader according to the gateway's current key table; empty if
  // it has no leader or the gateway does not answer.
  std::string Leader(std::size_t gateway) const;
  const std::string& name(std::size_t gateway) const {
    return m_gateways[gateway].name;
  }

  // Value of the gateway's gauge `name`; nothing if it has none or does not
  // answer.
  std::optional<double> Metric(std::size_t gateway,
                               const std::string& name) const;

  // Largest resident set of the gateway's process so far, bytes.
  std::size_t PeakResidentBytes(std::size_t gateway) const;

  // Number of descriptors that the gateway's process has open.
  std::size_t OpenDescriptors(std::size_t gateway) const;

  // Sends a signal to the gateway's process.
  void Signal(std::size_t gateway, int signal);
  // Waits until the gateway's process has ended. Returns what Process::Wait()
  // returns.
  std::optional<int> WaitForExit(std::size_t gateway,
                                 Clock::time_point deadline);
  // Starts the gateway's process again. Call it after the previous process has
  // ended.
  void Restart(std::size_t gateway);
  // The relay between the gateway and the store, for fault injection.
  Relay& StoreLink(std::size_t gateway) {
    return *m_gateways[gateway].store_link;
  }

  // Cuts the gateway off from all targets: connections are reset and new ones
  // refused, until it is called again with false. Needs Options::target_links.
  void CutOffFromTargets(std::size_t gateway, bool cut_off);
  bool has_target_links() const { return m_target_links; }

  std::size_t targets() const { return m_targets.size(); }
  void SignalTarget(std::size_t target, int signal);
  // Whether the target's process has ended. A request whose path contains
  // "poison" ends it.
  bool HasTargetExited(std::size_t target);
  // Kills the target's process, adds a "dead" event for it, and starts a
  // process with a new id in its place.
  void ReplaceTarget(std::size_t target);

  // Posts `body` to a test control of the store, for example "/test/outage".
  void ControlStore(const std::string& path, const std::string& body);
  // Publishes a configuration in which requests to "catalog" time out after
  // `timeout_ms`.
  void PublishConfiguration(int version, int timeout_ms);
  // The same with `routes` more routes, which are to "catalog" too.
  void PublishLargeConfiguration(int version, int routes);

  // Appends a record of the operator, such as "evacuate/zone-1"; an empty
  // `value` deletes it.
  void AppendOperatorRecord(const std::string& key, const std::string& value);

  // Appends an encoded record to the platform's list of targets.
  void AppendTargetRecord(const std::string& record);

  // The events that the targets have written, one JSON object per line.
  std::vector<std::string> Events() const;
  // Returns the lines of the gateway's event log so far.
  std::vector<std::string> LogLines(std::size_t gateway) const;
  // Directory of the settings, events and logs of the processes.
  const TemporaryDirectory& directory() const { return m_directory; }

 private:
  struct Gateway {
    std::string name;
    std::string address;
    std::string status_address;
    std::string settings_file;
    std::string zone;
    std::unique_ptr<Relay> store_link;
    std::vector<std::unique_ptr<Relay>> target_links;
    bool cut_off = false;
    std::unique_ptr<Process> process;
  };

  struct Target {
    bool keyed = false;
    int starts = 0;
    std::string name;
    std::string zone;
    std::string address;
    std::unique_ptr<Process> process;
  };

  void WriteSettings(const Gateway& gateway, const std::string& peer_port);
  void StartTarget(Target& target);
  // Makes the gateway reach the target at `address` through a relay.
  void LinkTarget(Gateway& gateway, const std::string& address);

  TemporaryDirectory m_directory;
  std::unique_ptr<Process> m_store;
  std::string m_store_address;
  int m_work_ms = 0;
  int m_initial_refusals = 0;
  int m_cold_ms = 0;
  int m_cold_rate = 0;
  std::string m_rate_limit;
  bool m_target_links = false;
  int m_memory_mb = 0;
  int m_max_descriptors = 0;
  std::size_t m_max_body_bytes = 0;
  std::vector<Target> m_targets;
  std::vector<Gateway> m_gateways;
};

}  // namespace snipehall::test
