#include "coordination/controller.h"

#include <utility>

#include "coordination/controller_impl.h"

namespace snipehall {

Result<Controller> Controller::Create(ControllerOptions options) {
  const ControllerTiming& timing = options.timing;
  if (options.self.empty() || options.zone.empty()) {
    return Fail(ErrorCode::kInvalidArgument,
                "instance and zone names must not be empty");
  }
  if (options.incarnation == 0) {
    return Fail(ErrorCode::kInvalidArgument, "incarnation must not be zero");
  }
  if (timing.confirmation_validity <= Milliseconds(0) ||
      timing.max_drift_per_mille < 0 ||
      timing.heartbeat_interval <= Milliseconds(0)) {
    return Fail(
        ErrorCode::kInvalidArgument,
        "confirmation_validity and heartbeat_interval must be positive, "
        "max_drift_per_mille must not be negative");
  }
  if (timing.lease_duration < 3 * timing.extension_interval) {
    return Fail(ErrorCode::kInvalidArgument,
                "lease must last at least three extension intervals");
  }
  return Controller(std::make_unique<Impl>(std::move(options)));
}

Controller::Controller(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}
Controller::Controller(Controller&&) noexcept = default;
Controller& Controller::operator=(Controller&&) noexcept = default;
Controller::~Controller() = default;

void Controller::OnLogRead(MonotonicTime began,
                           MonotonicTime now,
                           const LogRead& read) {
  m_impl->OnLogRead(began, now, read);
}

void Controller::OnInstances(MonotonicTime now,
                             std::span<const PlatformInstance> instances) {
  m_impl->OnInstances(now, instances);
}

Heartbeat Controller::OnHeartbeat(MonotonicTime now,
                                  const Heartbeat& heartbeat) {
  return m_impl->OnHeartbeat(now, heartbeat);
}

void Controller::OnHeartbeatAnswer(MonotonicTime sent,
                                   MonotonicTime now,
                                   const Heartbeat& answer) {
  m_impl->OnHeartbeatAnswer(sent, now, answer);
}

void Controller::OnPeerRecords(MonotonicTime now,
                               std::span<const LogEntry> entries) {
  m_impl->OnPeerRecords(now, entries);
}

void Controller::OnLeaseAnswer(MonotonicTime sent,
                               MonotonicTime now,
                               std::string_view target,
                               const LeaseAnswer& answer) {
  m_impl->OnLeaseAnswer(sent, now, target, answer);
}

void Controller::OnTargetFailure(MonotonicTime now, std::string_view target) {
  m_impl->OnTargetFailure(now, target);
}

void Controller::Leave(MonotonicTime /*now*/) {
  m_impl->Leave();
}

void Controller::ProposeMoves(std::string_view service,
                              LogOffset based_on,
                              std::vector<OwnerChange> changes) {
  m_impl->ProposeMoves(service, based_on, std::move(changes));
}

std::vector<Action> Controller::Tick(MonotonicTime now) {
  return m_impl->Tick(now);
}

const ClusterState& Controller::state() const {
  return m_impl->log().state();
}

LogOffset Controller::next_read_offset() const {
  return m_impl->log().next_read_offset();
}

MonotonicTime Controller::confirmed_until() const {
  return m_impl->confirmed_until();
}

std::shared_ptr<const RoutingTable> Controller::routing_table() const {
  return m_impl->routing_table();
}

std::vector<LogEntry> Controller::RecordsFrom(LogOffset from) const {
  return m_impl->log().RecordsFrom(from);
}

}  // namespace snipehall
