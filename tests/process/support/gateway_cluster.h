#pragma once

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

// A store, targets and gateways as separate processes on loopback. There is a
// keyed service "catalog" under /catalog/, whose requests may be repeated, and
// a service "booking" under /booking/, whose requests may not.
class GatewayCluster {
 public:
  struct Options {
    int gateways = 3;
    int keyed_targets = 4;
    int plain_targets = 2;
    // First requests that each target refuses though it has free slots.
    int refused = 0;
  };

  explicit GatewayCluster(const Options& options);

  // Waits until every gateway is ready. Throws when `deadline` passes first.
  void WaitUntilReady(Clock::time_point deadline);

  std::size_t gateways() const { return m_gateways.size(); }
  // Where the gateway takes requests.
  const std::string& address(std::size_t gateway) const {
    return m_gateways[gateway].address;
  }
  bool IsReady(std::size_t gateway) const;
  // The name of the leader by the key table that the gateway knows.
  std::string Leader(std::size_t gateway) const;
  const std::string& name(std::size_t gateway) const {
    return m_gateways[gateway].name;
  }

  // Signals the gateway's process.
  void Signal(std::size_t gateway, int signal);
  // Waits for the end of the process; its status as of Process::Wait().
  std::optional<int> WaitForEnd(std::size_t gateway,
                                Clock::time_point deadline);
  // Starts the gateway again, after its end.
  void Restart(std::size_t gateway);
  // The way from the gateway to the store.
  Relay& StoreLink(std::size_t gateway) {
    return *m_gateways[gateway].store_link;
  }

  std::size_t targets() const { return m_targets.size(); }
  void SignalTarget(std::size_t target, int signal);
  // Ends the target's process, notes that in the events, and starts one with
  // another id.
  void ReplaceTarget(std::size_t target);

  // A switch of the store, for example "/test/outage".
  void ControlStore(const std::string& path, const std::string& body);
  // Publishes a configuration whose catalog route has the given time-out.
  void PublishPolicy(int version, int timeout_ms);

  // The lines of JSON that the targets wrote.
  std::vector<std::string> Events() const;
  // What the gateway wrote to its standard error.
  const TemporaryDirectory& directory() const { return m_directory; }

 private:
  struct Gateway {
    std::string name;
    std::string address;
    std::string status_address;
    std::string settings_file;
    std::unique_ptr<Relay> store_link;
    std::unique_ptr<Process> process;
  };

  struct Target {
    bool keyed = false;
    int starts = 0;
    std::string name;
    std::string address;
    std::unique_ptr<Process> process;
  };

  void WriteSettings(const Gateway& gateway, const std::string& peer_port);
  void StartTarget(Target& target);

  TemporaryDirectory m_directory;
  std::unique_ptr<Process> m_store;
  std::string m_store_address;
  int m_refused = 0;
  std::vector<Target> m_targets;
  std::vector<Gateway> m_gateways;
};

}  // namespace snipehall::test
