#pragma once

#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "coordination/messages.h"
#include "state/cluster_state.h"
#include "state/routing_table.h"
#include "state/types.h"

namespace snipehall {

// Timing of the range ownership protocol: instances extend the leases of
// targets only while they know that their state of the log is current, so that
// a moved range can be granted to its new owner once older leases have expired.
struct ControllerTiming {
  // How long a confirmation of the cluster state stays valid.
  Milliseconds confirmation_validity{500};
  // Duration of a target's lease.
  Milliseconds lease_duration{600};
  // Interval between extensions of a lease.
  Milliseconds extension_interval{150};
  // Interval between heartbeats to the members of this instance's groups.
  Milliseconds heartbeat_interval{100};
  // Time without a message after which a member or a target counts as lost.
  Milliseconds silence_timeout{300};
  // Time without a message, or of absence from the platform's instance list,
  // after which a member is replaced.
  Milliseconds member_replacement{10000};
  // Maximum difference between clock rates, in thousandths.
  int max_drift_per_mille = 10;
};

// Protocol steps that tests disable to show that each of them is needed.
struct OmittedSteps {
  // Extends leases without a confirmation.
  bool confirmation = false;
  // Grants a moved range as soon as the move is read.
  bool move_wait = false;
};

struct ControllerOptions {
  InstanceId self;
  ZoneName zone;
  Incarnation incarnation = 0;
  ControllerTiming timing;
  // For tests only; production code leaves all steps enabled.
  OmittedSteps omitted;
};

// Decides which targets own which key ranges. Takes events and the current
// time, and returns actions to perform. Applies log records to the cluster
// state, confirms that the state is current, extends target leases, and plans
// and completes range moves. Does no I/O, reads no clock and starts no threads;
// not thread-safe.
class Controller {
 public:
  // Fails with kInvalidArgument if a name is empty, the incarnation is zero or
  // the timing is inconsistent.
  static Result<Controller> Create(ControllerOptions options);

  Controller(Controller&&) noexcept;
  Controller& operator=(Controller&&) noexcept;
  ~Controller();

  // Handles a read of the log that was sent at `began` and completed at `now`.
  void OnLogRead(MonotonicTime began, MonotonicTime now, const LogRead& read);
  // Handles a new version of the platform's instance list.
  void OnInstances(MonotonicTime now,
                   std::span<const PlatformInstance> instances);

  // Handles a heartbeat from a peer; returns this instance's heartbeat as the
  // answer.
  Heartbeat OnHeartbeat(MonotonicTime now, const Heartbeat& heartbeat);
  // Handles the answer to a heartbeat that was sent at `sent`.
  void OnHeartbeatAnswer(MonotonicTime sent,
                         MonotonicTime now,
                         const Heartbeat& answer);

  // Handles records received from a peer. For an instance that starts, they may
  // begin with a snapshot.
  void OnPeerRecords(MonotonicTime now, std::span<const LogEntry> entries);

  // Handles the answer to a lease order or status query that was sent at
  // `sent`.
  void OnLeaseAnswer(MonotonicTime sent,
                     MonotonicTime now,
                     std::string_view target,
                     const LeaseAnswer& answer);
  // Call when a target did not answer: refused connection, timeout or malformed
  // answer.
  void OnTargetFailure(MonotonicTime now, std::string_view target);

  // Starts a graceful stop: stops coordinating groups, so that other members
  // extend the leases.
  void Leave(MonotonicTime now);

  // Adds moves that were planned elsewhere, for example of hot keys, to the
  // next assignment record of the service. `based_on` is the assignment version
  // that they were planned from. Moves are dropped unless this instance
  // coordinates the groups of the new owners. A later call replaces an earlier
  // proposal.
  void ProposeMoves(std::string_view service,
                    LogOffset based_on,
                    std::vector<OwnerChange> changes);

  // Returns the actions that are due at `now`. Call at least every 20 ms.
  std::vector<Action> Tick(MonotonicTime now);

  // Returns the state after all records applied so far.
  const ClusterState& state() const;
  // Returns the offset at which the next read of the log starts.
  LogOffset next_read_offset() const;
  // Returns the time until which requests may be sent to targets that do not
  // check lease orders: the earliest limit over all groups that own ranges of
  // such a service, or the limit of this instance's zone if there are none.
  // Returns the epoch if the state was never confirmed.
  MonotonicTime confirmed_until() const;
  // Returns the current routing table; a change creates a new table.
  std::shared_ptr<const RoutingTable> routing_table() const;
  // Returns the records from `from` on that are still in memory, to be sent to
  // a peer. Starts with a snapshot if older records were dropped.
  std::vector<LogEntry> RecordsFrom(LogOffset from) const;

 private:
  class Impl;

  explicit Controller(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace snipehall
