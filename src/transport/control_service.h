#pragma once

#include <prometheus/registry.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/controller.h"
#include "protocol/settings.h"
#include "state/cluster_state.h"
#include "state/published.h"
#include "state/routing_table.h"

namespace snipehall {

// A target as this instance knows it, for operators.
struct TargetStatus {
  TargetId id;
  ServiceName service;
  ZoneName zone;
  bool leaving = false;
  // Whether this instance asked the target within the last seconds. It asks
  // those of the groups that it leads; otherwise the fields below tell nothing.
  bool asked = false;
  bool reachable = false;
  int outstanding = 0;
};

// What the administration listener shows. Immutable once published.
struct ControlStatus {
  InstanceId instance;
  ZoneName zone;
  // Copy of the folded state.
  ClusterState state;
  bool log_reachable = false;
  bool confirmed = false;
  std::vector<TargetStatus> targets;
  std::vector<PlatformInstance> instances;
};

// Outcome of a record that an operator submitted.
struct SubmitOutcome {
  ApplyOutcome outcome = ApplyOutcome::kInvalid;
  LogOffset offset = 0;
  // The version that won when the outcome is kStale.
  LogOffset current = 0;
};

// Runs the controller on a thread of its own, and the peer links on another.
// Reads the log and the instance list, sends orders to targets, and publishes
// the routing table.
class ControlService {
 public:
  using SubmitCallback = std::function<void(Result<SubmitOutcome>)>;

  // Binds the peer listener and starts the threads. Counters are added to
  // `registry`, if there is one.
  static Result<std::unique_ptr<ControlService>> Start(
      const Settings& settings,
      std::shared_ptr<prometheus::Registry> registry = nullptr);

  // Leaves the group and ends the threads.
  ~ControlService();

  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;

  // Address of the peer listener, with the port that was chosen.
  std::string peer_address() const;

  const Published<RoutingTable>& routing_table() const;
  const Published<ControlStatus>& status() const;

  // The folded state is confirmed until this time: ticks of the monotonic
  // clock since its epoch.
  const std::atomic<MonotonicTime::rep>& confirmed_until() const;

  // Appends the record and reports how the fold took it, once it was read
  // back. Callable from any one thread; the callback runs on the control
  // thread. Fails with kBusy when too many are waiting, and with kTimeout when
  // the log did not show the record by `deadline`.
  void Submit(Record record, MonotonicTime deadline, SubmitCallback callback);

  // Leaves leases and duties to the other members, as the first step of a
  // graceful shutdown.
  void Leave();

 private:
  class Impl;

  explicit ControlService(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace snipehall
