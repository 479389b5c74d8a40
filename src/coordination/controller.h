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

// Time limits of the ownership protocol; see docs/design.md, section 3.
struct ControllerTiming {
  // How long a confirmation of the folded state stays valid (G).
  Milliseconds confirmation_validity{500};
  // Length of a target's lease (L).
  Milliseconds lease{600};
  // Interval between extensions of a lease.
  Milliseconds extension_interval{150};
  // Interval between heartbeats to the members of the own groups.
  Milliseconds heartbeat_interval{100};
  // Silence after which a member or a target is taken for lost.
  Milliseconds silence{300};
  // Silence or absence from the list after which a member is replaced.
  Milliseconds member_replacement{10000};
  // Greatest difference of clock rates, in thousandths.
  int drift_per_mille = 10;
};

// Steps of the protocol that a test leaves out to show that they are needed.
struct OmittedSteps {
  // Extends leases without confirmation.
  bool confirmation = false;
  // Grants a moved range as soon as the move is read.
  bool settlement = false;
};

struct ControllerOptions {
  InstanceId self;
  ZoneName zone;
  Incarnation incarnation = 0;
  // Wall-clock time is used in records for display only.
  ControllerTiming timing;
  // For tests only; nothing is left out otherwise.
  OmittedSteps omitted;
};

// Takes events and the current time, and returns actions: folds the log,
// confirms the state, extends leases, plans and settles moves. Holds no
// sockets, clocks or threads.
class Controller {
 public:
  static Result<Controller> Create(ControllerOptions options);

  Controller(Controller&&) noexcept;
  Controller& operator=(Controller&&) noexcept;
  ~Controller();

  // `began` is the time at which the read was sent; the answer was complete
  // at `now`.
  void OnLogRead(MonotonicTime began, MonotonicTime now, const LogRead& read);
  void OnInstances(MonotonicTime now,
                   std::span<const PlatformInstance> instances);

  // A heartbeat from a peer; returns this instance's own.
  Heartbeat OnHeartbeat(MonotonicTime now, const Heartbeat& heartbeat);
  // The answer to a heartbeat that was sent at `sent`.
  void OnHeartbeatAnswer(MonotonicTime sent,
                         MonotonicTime now,
                         const Heartbeat& answer);

  // Records and, for a starting instance, a snapshot received from a peer.
  void OnPeerRecords(MonotonicTime now, std::span<const LogEntry> entries);

  // The answer to an order or a query that was sent at `sent`.
  void OnLeaseAnswer(MonotonicTime sent,
                     MonotonicTime now,
                     std::string_view target,
                     const LeaseAnswer& answer);
  // No answer came: refused connection, time-out or a broken answer.
  void OnTargetFailure(MonotonicTime now, std::string_view target);

  // Stops taking on duties; leases are left to the other members.
  void Leave(MonotonicTime now);

  // Adds moves that were planned elsewhere, for example of hot keys, to the
  // service's next assignment record. `based_on` is the assignment version that
  // they were planned from. Dropped unless this instance acts for the groups of
  // the new owners; a later proposal replaces an earlier one.
  void ProposeMoves(std::string_view service,
                    LogOffset based_on,
                    std::vector<OwnerChange> changes);

  // What is due at `now`. Called at least every 20 ms.
  std::vector<Action> Tick(MonotonicTime now);

  const ClusterState& state() const;
  // Offset from which the next read of the log starts.
  LogOffset next_read() const;
  // Until this time a request may be sent to a target that does not check
  // orders; the epoch when the state was never confirmed. Covers every group
  // that owns ranges of such a service.
  MonotonicTime confirmed_until() const;
  std::shared_ptr<const RoutingTable> routing_table() const;
  // Records from `from` on that are still in memory, for a peer. Starts with a
  // snapshot when older ones were dropped.
  std::vector<LogEntry> RecordsFrom(LogOffset from) const;

 private:
  class Impl;

  explicit Controller(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace snipehall
