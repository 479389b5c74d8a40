#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "coordination/controller.h"

namespace snipehall::test {

// Virtual time in microseconds since the start of the simulation.
using Time = std::int64_t;
constexpr Time kMs = 1000;
constexpr Time kSecond = 1000 * kMs;
// Maximum duration of a request: the default deadline of its class.
constexpr Time kRequestDeadline = kSecond;

// Parameters of a ClusterSimulation.
struct SimulationOptions {
  std::uint64_t seed = 1;
  int instances_per_zone = 3;
  int targets_per_zone = 3;
  // Time after which the ranges of an isolated zone move to the other zone;
  // empty if they wait for the zone.
  std::optional<Milliseconds> move_after = std::nullopt;
  // Protocol steps that the controllers skip.
  OmittedSteps omitted = {};
  // Whether targets check lease orders.
  bool checks_orders = true;
};

// Simulates two zones of instances, each with a Controller, and targets, each
// of which decides on the lease orders for itself, together with the log, in
// virtual time. Checks the invariants of the ownership protocol while it runs
// and records violations. Nodes are numbered: instances first, then targets.
// Each node has its own clock; clock rates differ by at most 1%. Runs are
// reproducible from the seed.
class ClusterSimulation {
 public:
  // A process, of an instance or a target, and its clock.
  struct Node {
    std::string id;
    ZoneName zone;
    std::int64_t clock_offset_ns = 0;
    int clock_drift_per_mille = 0;
    bool alive = true;
    Time paused_until = 0;
    // Incremented when the process ends; events of earlier processes are
    // dropped.
    int process_generation = 0;
    // Events that arrived during a pause; they run when the process resumes.
    std::vector<std::function<void()>> deferred_events;
  };
  // State of a target process.
  struct Target {
    Incarnation incarnation = 0;
    // Version of the assignment that `ranges` was built from.
    LogOffset range_set_version = 0;
    // End of the lease, on the target's clock.
    std::int64_t deadline_ms = 0;
    std::vector<LeasedRange> ranges;
    // Time until which requests on revoked ranges are in progress.
    Time revoked_requests_until = 0;
  };
  // State of an instance process.
  struct Instance {
    std::unique_ptr<Controller> controller;
    // Offset of the configuration that the last check saw.
    LogOffset configuration = 0;
    Time log_unreachable_until = 0;
    // Whether the instance list states that the instance is leaving.
    bool leaving = false;
  };

  explicit ClusterSimulation(const SimulationOptions& options)
      : m_options(options), m_random(options.seed) {
    for (const char* zone : {"z1", "z2"}) {
      for (int i = 0; i < options.instances_per_zone; ++i) {
        AddNode(std::string(zone) + "-i" + std::to_string(i), zone);
        m_instances.emplace_back();
      }
    }
    for (const char* zone : {"z1", "z2"}) {
      for (int i = 0; i < options.targets_per_zone; ++i) {
        AddNode(std::string(zone) + "-t" + std::to_string(i), zone);
        m_targets.emplace_back();
      }
    }
    m_disconnected_until.assign(m_nodes.size(),
                                std::vector<Time>(m_nodes.size(), 0));
    m_expected_states.emplace_back();
    PublishConfiguration({});
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
      StartProcess(n);
    }
  }
  ClusterSimulation(const ClusterSimulation&) = delete;
  ClusterSimulation& operator=(const ClusterSimulation&) = delete;

  Time now() const { return m_now; }
  std::size_t instances() const { return m_instances.size(); }
  std::size_t targets() const { return m_targets.size(); }
  std::size_t NodeOfTarget(std::size_t target) const {
    return m_instances.size() + target;
  }
  Node& node(std::size_t n) { return m_nodes[n]; }
  Instance& instance(std::size_t i) { return m_instances[i]; }
  Target& target(std::size_t t) { return m_targets[t]; }
  // Returns a description of each violated invariant, in order of time.
  const std::vector<std::string>& violations() const { return m_violations; }
  // Returns the number of events that have run.
  std::uint64_t steps() const { return m_steps; }
  // Returns the state that results from applying the whole log.
  const ClusterState& expected_state() const {
    return m_expected_states.back();
  }
  // Returns the offset that the next record gets.
  LogOffset log_end() const { return m_log.size() + 1; }
  // Offset of the oldest record that the log still holds.
  LogOffset first_log_offset = 1;
  // Time until which no instance reaches the log.
  Time log_down_until = 0;
  // Time until which log reads take up to 900 ms longer.
  Time log_slow_until = 0;
  // Time until which one message in ten takes up to 900 ms.
  Time network_slow_until = 0;

  // Appends a configuration with the given plans to the log.
  void PublishConfiguration(std::vector<PlanConfig> plans) {
    const ConfigurationEntry* current = expected_state().configuration();
    Append({"operator-" + std::to_string(m_log.size()), "operator",
            current == nullptr ? 0 : current->offset,
            ConfigurationRecord{MakeConfiguration(std::move(plans))}});
  }

  // Drops messages between two nodes until the given time.
  void DisconnectPair(std::size_t a, std::size_t b, Time until) {
    m_disconnected_until[a][b] = std::max(m_disconnected_until[a][b], until);
    m_disconnected_until[b][a] = std::max(m_disconnected_until[b][a], until);
  }
  // Drops messages between a zone and the other one until the given time. With
  // `from_log`, the instances of the zone do not reach the log either.
  void DisconnectZone(const ZoneName& zone, bool from_log, Time until) {
    for (std::size_t a = 0; a < m_nodes.size(); ++a) {
      for (std::size_t b = 0; b < m_nodes.size(); ++b) {
        if (m_nodes[a].zone == zone && m_nodes[b].zone != zone) {
          DisconnectPair(a, b, until);
        }
      }
      if (from_log && a < m_instances.size() && m_nodes[a].zone == zone) {
        m_instances[a].log_unreachable_until = until;
      }
    }
  }
  // Stops a process from handling events until the given time.
  void Pause(std::size_t n, Time until) {
    m_nodes[n].paused_until = std::max(m_nodes[n].paused_until, until);
    const int process_generation = m_nodes[n].process_generation;
    ScheduleAt(m_nodes[n].paused_until, [this, n, process_generation] {
      Resume(n, process_generation);
    });
  }
  // Ends a process.
  void Kill(std::size_t n) {
    Node& node = m_nodes[n];
    node.alive = false;
    ++node.process_generation;
    node.deferred_events.clear();
  }
  // Starts a new process at `time` on a node whose process was killed. Does
  // nothing if the node was started in the meantime.
  void RestartAt(std::size_t n, Time time) {
    ScheduleAt(time,
               [this, n, process_generation = m_nodes[n].process_generation] {
                 if (m_nodes[n].process_generation == process_generation &&
                     !m_nodes[n].alive) {
                   StartProcess(n);
                 }
               });
  }
  // Runs a function at the given time, or now if that has passed.
  void ScheduleAt(Time time, std::function<void()> run) {
    m_queue.push({std::max(time, m_now), m_sequence++, std::move(run)});
  }
  // Runs all events up to the given time.
  void RunUntil(Time time) {
    while (!m_queue.empty() && m_queue.top().time <= time) {
      Event event = m_queue.top();
      m_queue.pop();
      m_now = event.time;
      ++m_steps;
      event.run();
    }
    m_now = time;
  }
  // Runs until the condition holds, which is checked every 5 ms. Returns the
  // time that it took, or nothing if it does not hold within `limit`.
  std::optional<Time> RunUntilTrue(Time limit,
                                   const std::function<bool()>& condition) {
    const Time start = m_now;
    while (m_now < start + limit) {
      RunUntil(m_now + 5 * kMs);
      if (condition()) {
        return m_now - start;
      }
    }
    return std::nullopt;
  }

  // Whether the target runs and its lease has not expired on its clock.
  bool HasLease(std::size_t t) const {
    const Node& node = m_nodes[NodeOfTarget(t)];
    return node.alive && ReadClockMs(node) < m_targets[t].deadline_ms;
  }
  // Returns the target that holds an unexpired lease on the hash and is not
  // paused; empty if there is none.
  std::optional<std::size_t> FindLeaseHolder(std::uint64_t hash) const {
    for (std::size_t t = 0; t < m_targets.size(); ++t) {
      if (!HasLease(t) || m_nodes[NodeOfTarget(t)].paused_until > m_now) {
        continue;
      }
      for (const LeasedRange& leased : m_targets[t].ranges) {
        if (leased.range.Contains(hash)) {
          return t;
        }
      }
    }
    return std::nullopt;
  }
  // Whether every assigned range has a lease holder. With `zone_index`, only
  // the key range of the first zone (0) or the second zone (1) is considered.
  bool IsServed(std::optional<int> zone_index = std::nullopt) const {
    const ServiceAssignment* assignment = expected_state().FindAssignment("s");
    if (assignment == nullptr) {
      return false;
    }
    return std::all_of(
        assignment->ranges.begin(), assignment->ranges.end(),
        [&](const OwnedRange& owned) {
          const bool in_second_zone = owned.range.first > kLastHashOfZone1;
          return (zone_index && (*zone_index == 1) != in_second_zone) ||
                 FindLeaseHolder(owned.range.first).has_value();
        });
  }

  // Last hash of the key range of zone z1.
  static constexpr std::uint64_t kLastHashOfZone1 = UINT64_MAX / 2;

 private:
  // A function to run at a point in virtual time. `sequence` keeps the order of
  // events at the same time.
  struct Event {
    Time time;
    std::uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(time, sequence) > std::tie(other.time, other.sequence);
    }
  };

  // Draws an integer from `low` to `high`, both included.
  std::int64_t DrawUniform(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
  }

  void AddNode(std::string id, ZoneName zone) {
    Node node;
    node.id = std::move(id);
    node.zone = std::move(zone);
    node.clock_offset_ns = DrawUniform(1, 1000000) * 1000000;
    node.clock_drift_per_mille = static_cast<int>(DrawUniform(-4, 4));
    m_nodes.push_back(std::move(node));
  }

  Configuration MakeConfiguration(std::vector<PlanConfig> plans) const {
    Configuration configuration;
    configuration.zones = {{"z1", "r"}, {"z2", "r"}};
    ServiceConfig service;
    service.name = "s";
    service.keyed = true;
    service.move_after = m_options.move_after;
    service.checks_orders = m_options.checks_orders;
    service.default_class = "c";
    service.classes = {ClassConfig{"c"}};
    service.key_ranges = {{{0, kLastHashOfZone1}, "z1"},
                          {{kLastHashOfZone1 + 1, UINT64_MAX}, "z2"}};
    configuration.services = {service};
    configuration.tenants = {{"default"}};
    configuration.plans = std::move(plans);
    return configuration;
  }

  // Returns the time on the node's own clock.
  MonotonicTime ReadClock(const Node& node) const {
    return MonotonicTime(std::chrono::nanoseconds(
        m_now * (1000 + node.clock_drift_per_mille) + node.clock_offset_ns));
  }
  std::int64_t ReadClockMs(const Node& node) const {
    return std::chrono::floor<Milliseconds>(ReadClock(node).time_since_epoch())
        .count();
  }

  // Draws the latency of a message.
  Time DrawLatency() {
    if (m_now < network_slow_until && DrawUniform(0, 9) == 0) {
      return DrawUniform(kMs, 900 * kMs);
    }
    return DrawUniform(200, 1500);
  }
  bool IsDisconnected(std::size_t a, std::size_t b) const {
    return m_now < m_disconnected_until[a][b];
  }
  // Runs a function in the node's current process at the given time or, if the
  // process is paused then, when it resumes. Dropped if the process has ended.
  void ScheduleOnNode(std::size_t n, Time time, std::function<void()> run) {
    ScheduleAt(
        time, [this, n, process_generation = m_nodes[n].process_generation,
               run = std::move(run)] {
          Node& node = m_nodes[n];
          if (!node.alive || node.process_generation != process_generation) {
            return;
          }
          if (node.paused_until > m_now) {
            node.deferred_events.push_back(run);
          } else {
            run();
          }
        });
  }
  // Sends a message whose receipt runs `run`. Lost if the nodes are
  // disconnected.
  void Send(std::size_t from, std::size_t to, std::function<void()> run) {
    if (!IsDisconnected(from, to)) {
      ScheduleOnNode(to, m_now + DrawLatency(), std::move(run));
    }
  }
  // Runs the events that arrived during a pause, unless it was extended.
  void Resume(std::size_t n, int process_generation) {
    Node& node = m_nodes[n];
    if (node.process_generation != process_generation ||
        node.paused_until > m_now) {
      return;
    }
    for (auto& run : std::exchange(node.deferred_events, {})) {
      run();
    }
  }

  // Starts a process with a new incarnation and without state.
  void StartProcess(std::size_t n) {
    Node& node = m_nodes[n];
    node.alive = true;
    node.paused_until = 0;
    const auto incarnation =
        static_cast<Incarnation>(DrawUniform(1, INT64_MAX));
    if (n >= m_instances.size()) {
      m_targets[n - m_instances.size()] = Target{incarnation};
      return;
    }
    ControllerOptions options{node.id, node.zone, incarnation};
    options.omitted = m_options.omitted;
    m_instances[n] = Instance{
        std::make_unique<Controller>(Controller::Create(options).value()), 0,
        m_instances[n].log_unreachable_until};
    Tick(n);
    ReadLog(n);
    ReadInstanceList(n);
  }

  // Runs a controller's tick, performs its actions and schedules the next tick
  // in 15 to 20 ms.
  void Tick(std::size_t i) {
    Controller& controller = *m_instances[i].controller;
    const MonotonicTime clock = ReadClock(m_nodes[i]);
    for (const Action& action : controller.Tick(clock)) {
      std::visit([&](const auto& a) { Perform(i, clock, a); }, action);
    }
    CheckState(i);
    if (!m_options.checks_orders) {
      SendRequests(i);
    }
    ScheduleOnNode(i, m_now + DrawUniform(15, 20) * kMs,
                   [this, i] { Tick(i); });
  }

  // Passes the platform's instance list to a controller, every 500 ms.
  void ReadInstanceList(std::size_t i) {
    std::vector<PlatformInstance> list;
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
      const bool is_router = n < m_instances.size();
      list.push_back({m_nodes[n].id,
                      is_router ? PlatformRole::kEntry : PlatformRole::kTarget,
                      is_router ? "" : "s", m_nodes[n].zone, std::to_string(n),
                      is_router && m_instances[n].leaving});
    }
    m_instances[i].controller->OnInstances(ReadClock(m_nodes[i]), list);
    ScheduleOnNode(i, m_now + 500 * kMs, [this, i] { ReadInstanceList(i); });
  }

  bool IsLogReachable(std::size_t i) const {
    return m_now >= log_down_until &&
           m_now >= m_instances[i].log_unreachable_until;
  }
  // Sends a long-poll read to the log: it returns when there are new records,
  // or after 100 ms.
  void ReadLog(std::size_t i) {
    const MonotonicTime began = ReadClock(m_nodes[i]);
    const LogOffset from = m_instances[i].controller->next_read_offset();
    const Time slow = m_now < log_slow_until ? DrawUniform(0, 900 * kMs) : 0;
    ScheduleAt(m_now + DrawLatency() + slow,
               [this, i, began, from,
                process_generation = m_nodes[i].process_generation,
                poll_end = m_now + 100 * kMs] {
                 ServeLogRead(i, process_generation, began, from, poll_end);
               });
  }
  void ServeLogRead(std::size_t i,
                    int process_generation,
                    MonotonicTime began,
                    LogOffset from,
                    Time poll_end) {
    if (m_nodes[i].process_generation != process_generation) {
      return;
    }
    if (!IsLogReachable(i)) {
      ScheduleOnNode(i, m_now + 50 * kMs, [this, i] { ReadLog(i); });
      return;
    }
    if (from > m_log.size() && m_now < poll_end) {
      ScheduleAt(m_now + 5 * kMs,
                 [this, i, process_generation, began, from, poll_end] {
                   ServeLogRead(i, process_generation, began, from, poll_end);
                 });
      return;
    }
    LogRead read;
    read.first_offset = first_log_offset;
    read.end_offset = m_log.size() + 1;
    // A read from below the first offset held returns no records.
    for (LogOffset offset = from < first_log_offset ? read.end_offset : from;
         offset < read.end_offset; ++offset) {
      read.entries.push_back({offset, m_log[offset - 1]});
    }
    ScheduleOnNode(i, m_now + DrawLatency(),
                   [this, i, began, read = std::move(read)] {
                     m_instances[i].controller->OnLogRead(
                         began, ReadClock(m_nodes[i]), read);
                     CheckState(i);
                     ReadLog(i);
                   });
  }
  // Appends a record to the log and applies it to the expected state.
  void Append(Record record) {
    m_log.push_back(std::move(record));
    ClusterState next = m_expected_states.back();
    next.Apply(m_log.size(), m_log.back());
    m_expected_states.push_back(std::move(next));
  }

  void Perform(std::size_t i, MonotonicTime /*clock*/, const AppendRecord& a) {
    // The controller does not use the reply of an append, so none is sent.
    ScheduleAt(m_now + DrawLatency() + DrawUniform(0, 5 * kMs),
               [this, i, record = a.record] {
                 if (IsLogReachable(i)) {
                   Append(record);
                 }
               });
  }
  void Perform(std::size_t i, MonotonicTime clock, const SendHeartbeat& a) {
    const std::size_t to = std::stoul(a.address);
    Send(i, to, [this, i, to, clock, heartbeat = a.heartbeat] {
      const Heartbeat answer = m_instances[to].controller->OnHeartbeat(
          ReadClock(m_nodes[to]), heartbeat);
      Send(to, i, [this, i, clock, answer] {
        m_instances[i].controller->OnHeartbeatAnswer(
            clock, ReadClock(m_nodes[i]), answer);
      });
    });
  }
  void Perform(std::size_t i, MonotonicTime /*clock*/, const FetchRecords& a) {
    const std::size_t to = std::stoul(a.address);
    Send(i, to, [this, i, to, from = a.from] {
      const auto entries = m_instances[to].controller->RecordsFrom(from);
      Send(to, i, [this, i, entries] {
        m_instances[i].controller->OnPeerRecords(ReadClock(m_nodes[i]),
                                                 entries);
        CheckState(i);
      });
    });
  }
  void Perform(std::size_t i, MonotonicTime clock, const SendStatusQuery& a) {
    SendToTarget(i, std::stoul(a.address), clock, std::nullopt);
  }
  void Perform(std::size_t i, MonotonicTime clock, const SendLeaseOrder& a) {
    SendToTarget(i, std::stoul(a.address), clock, a.order);
  }
  // Sends a lease order or, without `order`, a status query to a target. Fails
  // after a round trip if the connection is refused, and after 200 ms if there
  // is no answer.
  void SendToTarget(std::size_t i,
                    std::size_t n,
                    MonotonicTime clock,
                    const std::optional<LeaseOrder>& order) {
    const auto completed = std::make_shared<bool>(false);
    const auto fail = [this, i, n, completed] {
      if (!std::exchange(*completed, true)) {
        m_instances[i].controller->OnTargetFailure(ReadClock(m_nodes[i]),
                                                   m_nodes[n].id);
      }
    };
    const bool refused = !m_nodes[n].alive && !IsDisconnected(i, n);
    ScheduleOnNode(i, m_now + (refused ? 2 * DrawLatency() : 200 * kMs), fail);
    Send(i, n, [this, i, n, clock, order, completed] {
      const LeaseAnswer answer = HandleLeaseOrder(n, order);
      Send(n, i, [this, i, n, clock, answer, completed] {
        if (!std::exchange(*completed, true)) {
          m_instances[i].controller->OnLeaseAnswer(clock, ReadClock(m_nodes[i]),
                                                   m_nodes[n].id, answer);
        }
      });
    });
  }

  // Handles a lease order or status query in a target: accepts an order for the
  // current incarnation unless its version is out of date.
  LeaseAnswer HandleLeaseOrder(std::size_t n,
                               const std::optional<LeaseOrder>& order) {
    Target& target = m_targets[n - m_instances.size()];
    const bool accepted =
        order && order->incarnation == target.incarnation &&
        (order->ranges ? order->assignment_version >= target.range_set_version
                       : order->assignment_version == target.range_set_version);
    if (accepted) {
      if (order->ranges) {
        if (target.range_set_version != order->assignment_version &&
            DrawUniform(0, 3) == 0) {
          target.revoked_requests_until = m_now + DrawUniform(0, 300 * kMs);
        }
        target.range_set_version = order->assignment_version;
        target.ranges = *order->ranges;
      }
      target.deadline_ms = std::max(target.deadline_ms, order->deadline_ms);
      CheckLeases(n - m_instances.size());
    }
    LeaseAnswer answer;
    answer.accepted = accepted || !order;
    answer.incarnation = target.incarnation;
    answer.clock_ms = ReadClockMs(m_nodes[n]);
    answer.assignment_version = target.range_set_version;
    answer.deadline_ms = target.deadline_ms;
    answer.revoked_ranges_in_progress =
        m_now < target.revoked_requests_until ? 1 : 0;
    return answer;
  }

  // Checks that no other target holds a lease on a hash of target `t`. Leases
  // begin or are extended only when an order is accepted, so a check at each
  // acceptance finds all overlapping leases.
  void CheckLeases(std::size_t t) {
    if (!HasLease(t)) {
      return;
    }
    for (std::size_t other = 0; other < m_targets.size(); ++other) {
      if (other == t || !HasLease(other)) {
        continue;
      }
      for (const LeasedRange& a : m_targets[t].ranges) {
        for (const LeasedRange& b : m_targets[other].ranges) {
          if (a.range.Overlaps(b.range)) {
            ReportViolation("two targets hold leases on hash " +
                            ToHex(std::max(a.range.first, b.range.first)) +
                            ": " + m_nodes[NodeOfTarget(t)].id +
                            " with token " + std::to_string(a.token) + " and " +
                            m_nodes[NodeOfTarget(other)].id + " with token " +
                            std::to_string(b.token));
          }
        }
      }
    }
  }
  // Sends requests for 16 hashes to targets that do not check lease orders, as
  // the instance's routing table says. Checks that only one target at a time
  // may run requests for a hash; a request may run until its deadline.
  void SendRequests(std::size_t i) {
    const Controller& controller = *m_instances[i].controller;
    const auto* routes = controller.routing_table()->FindService("s");
    if (routes == nullptr ||
        ReadClock(m_nodes[i]) >= controller.confirmed_until()) {
      return;
    }
    for (std::size_t h = 0; h < m_requests_until.size(); ++h) {
      const RouteRange* route = routes->Find(h * (UINT64_MAX / 16));
      if (route == nullptr || route->target == RouteRange::kNoTarget) {
        continue;
      }
      const TargetId& target = routes->targets[route->target].id;
      for (const auto& [other, until] : m_requests_until[h]) {
        if (other != target && until > m_now) {
          std::string violation = m_nodes[i].id;
          violation.append(" sends to ").append(target);
          violation.append(" while requests may run at ").append(other);
          ReportViolation(violation);
        }
      }
      m_requests_until[h][target] = m_now + kRequestDeadline;
    }
  }
  // Checks that the controller's state is the result of applying the log up to
  // its offset, and that its configuration was not reverted.
  void CheckState(std::size_t i) {
    Instance& instance = m_instances[i];
    const ClusterState& state = instance.controller->state();
    if (!(state == m_expected_states[state.offset()])) {
      ReportViolation(
          m_nodes[i].id +
          " holds a state that differs from the result of applying the log");
    }
    const LogOffset configuration =
        state.configuration() == nullptr ? 0 : state.configuration()->offset;
    if (configuration < instance.configuration) {
      ReportViolation(m_nodes[i].id + " reverted to an earlier configuration");
    }
    instance.configuration = configuration;
  }
  void ReportViolation(std::string_view violation) {
    std::string line = std::to_string(m_now / kMs);
    line.append(" ms: ").append(violation);
    m_violations.push_back(std::move(line));
  }

  SimulationOptions m_options;
  std::mt19937_64 m_random;
  Time m_now = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_steps = 0;
  std::priority_queue<Event> m_queue;
  std::vector<Node> m_nodes;
  std::vector<Instance> m_instances;
  std::vector<Target> m_targets;
  // For each pair of nodes, when messages get through again.
  std::vector<std::vector<Time>> m_disconnected_until;
  std::vector<Record> m_log;
  // The state after applying the log up to each offset, from offset 0.
  std::vector<ClusterState> m_expected_states;
  std::vector<std::string> m_violations;
  // For each of 16 hashes, the time until which requests may run at each
  // target.
  std::array<std::map<TargetId, Time>, 16> m_requests_until;
};

}  // namespace snipehall::test
