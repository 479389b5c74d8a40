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
#include "state/atomic_shared_ptr.h"
#include "state/cluster_state.h"
#include "state/routing_table.h"

namespace snipehall {

// Status of a target as seen by this instance.
struct TargetStatus {
  TargetId id;
  ServiceName service;
  ZoneName zone;
  bool leaving = false;
  // Whether this instance exchanged control messages with the target within the
  // last seconds. It does so only for the groups that it coordinates; if false,
  // the fields below are not set.
  bool contacted = false;
  // Whether the target answered the last message.
  bool reachable = false;
  // Requests in progress, as reported by the target.
  int requests_in_progress = 0;
};

// Snapshot of the control thread's state for the administration API. Immutable
// once published.
struct ControlStatus {
  InstanceId instance;
  ZoneName zone;
  // Copy of the replicated state.
  ClusterState state;
  // Whether the last read of the log succeeded.
  bool log_reachable = false;
  // Whether `state` was confirmed as current when the status was published.
  bool confirmed = false;
  std::vector<TargetStatus> targets;
  std::vector<PlatformInstance> instances;
};

// Result of applying a record that an operator submitted.
struct SubmitOutcome {
  ApplyOutcome outcome = ApplyOutcome::kInvalid;
  // Offset of the record in the log.
  LogOffset offset = 0;
  // The version in force after the record was applied. If the outcome is
  // kStale, this is the version that prevailed over the record.
  LogOffset current_version = 0;
};

// Control plane of an instance. Reads the log and the instance list, sends
// lease orders to targets, exchanges heartbeats with peers and publishes the
// routing table. Runs the controller on a dedicated control thread and the RPC
// connections to peers on another.
class ControlService {
 public:
  using SubmitCallback = std::function<void(Result<SubmitOutcome>)>;

  // Binds the listener for peers and starts the threads. Fails when the address
  // cannot be bound or the controller rejects its options. Metrics are
  // registered with `registry` unless it is null.
  static Result<std::unique_ptr<ControlService>> Start(
      const Settings& settings,
      std::shared_ptr<prometheus::Registry> registry = nullptr);

  // Leaves the group and joins the threads.
  ~ControlService();

  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;

  // Address of the listener for peers ("IP-number:port"), with the port that
  // the system chose if the settings name port 0.
  std::string peer_address() const;

  // The current routing table and status. Readable from any thread.
  const AtomicSharedPtr<RoutingTable>& routing_table() const;
  const AtomicSharedPtr<ControlStatus>& status() const;

  // Time until which the replicated state counts as confirmed, in ticks of the
  // monotonic clock since its epoch. Readable from any thread.
  const std::atomic<MonotonicTime::rep>& confirmed_until() const;

  // Appends `record` to the log and reports the result of applying it, after it
  // has been read back from the log. May be called from one thread only, which
  // may be any; the callback runs on the control thread. Fails with kBusy when
  // too many records are pending, and with kTimeout when the record was not
  // read back by `deadline`.
  void Submit(Record record, MonotonicTime deadline, SubmitCallback callback);

  // Hands leases and coordination of groups over to the other members, as the
  // first step of a graceful shutdown.
  void Leave();

 private:
  class Impl;

  explicit ControlService(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace snipehall
