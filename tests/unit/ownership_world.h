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

// Virtual time, microseconds.
using Time = std::int64_t;
constexpr Time kMs = 1000;
constexpr Time kSecond = 1000 * kMs;
// Longest time for which a request runs: the default deadline of its class.
constexpr Time kRequestTime = kSecond;

struct WorldOptions {
  std::uint64_t seed = 1;
  int instances_per_zone = 3;
  int targets_per_zone = 3;
  std::optional<Milliseconds> move_after = std::nullopt;
  OmittedSteps omitted = {};
  bool checks_orders = true;
};

// Controllers, targets that arbitrate their own leases, and a log, in virtual
// time. Nodes are numbered: instances first, then targets. Each has its own
// clock; rates differ by at most 1%.
class World {
 public:
  struct Node {
    std::string id;
    ZoneName zone;
    std::int64_t clock_offset_ns = 0;
    int rate_per_mille = 0;
    bool alive = true;
    Time paused_until = 0;
    // Rises when the process ends, so that old messages are dropped.
    int life = 0;
    std::vector<std::function<void()>> inbox;
  };
  struct Target {
    Incarnation incarnation = 0;
    LogOffset set = 0;
    std::int64_t deadline_ms = 0;
    std::vector<LeasedRange> ranges;
    Time busy_until = 0;
  };
  struct Instance {
    std::unique_ptr<Controller> controller;
    LogOffset configuration = 0;
    Time log_cut_until = 0;
    bool leaving = false;
  };

  explicit World(const WorldOptions& options)
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
    m_cut_until.assign(m_nodes.size(), std::vector<Time>(m_nodes.size(), 0));
    m_history.emplace_back();
    Publish({});
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
      Start(n);
    }
  }
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  Time now() const { return m_now; }
  std::size_t instances() const { return m_instances.size(); }
  std::size_t targets() const { return m_targets.size(); }
  std::size_t NodeOfTarget(std::size_t target) const {
    return m_instances.size() + target;
  }
  Node& node(std::size_t n) { return m_nodes[n]; }
  Instance& instance(std::size_t i) { return m_instances[i]; }
  Target& target(std::size_t t) { return m_targets[t]; }
  const std::vector<std::string>& violations() const { return m_violations; }
  std::uint64_t steps() const { return m_steps; }
  // The cluster state after the whole log.
  const ClusterState& truth() const { return m_history.back(); }
  LogOffset log_end() const { return m_log.size() + 1; }
  // Oldest offset that the log still holds.
  LogOffset log_first = 1;
  Time log_down_until = 0;
  Time log_slow_until = 0;
  Time network_slow_until = 0;

  // Appends a configuration with the given drained targets.
  void Publish(std::vector<PlanConfig> plans) {
    const ConfigurationEntry* current = truth().configuration();
    Append({"operator-" + std::to_string(m_log.size()), "operator",
            current == nullptr ? 0 : current->offset,
            ConfigurationRecord{MakeConfiguration(std::move(plans))}});
  }

  void CutPair(std::size_t a, std::size_t b, Time until) {
    m_cut_until[a][b] = std::max(m_cut_until[a][b], until);
    m_cut_until[b][a] = std::max(m_cut_until[b][a], until);
  }
  // Cuts a zone off from the other one and, if wanted, from the log.
  void CutZone(const ZoneName& zone, bool from_log, Time until) {
    for (std::size_t a = 0; a < m_nodes.size(); ++a) {
      for (std::size_t b = 0; b < m_nodes.size(); ++b) {
        if (m_nodes[a].zone == zone && m_nodes[b].zone != zone) {
          CutPair(a, b, until);
        }
      }
      if (from_log && a < m_instances.size() && m_nodes[a].zone == zone) {
        m_instances[a].log_cut_until = until;
      }
    }
  }
  void Pause(std::size_t n, Time until) {
    m_nodes[n].paused_until = std::max(m_nodes[n].paused_until, until);
    const int life = m_nodes[n].life;
    At(m_nodes[n].paused_until, [this, n, life] { Resume(n, life); });
  }
  void Kill(std::size_t n) {
    Node& node = m_nodes[n];
    node.alive = false;
    ++node.life;
    node.inbox.clear();
  }
  void RestartAt(std::size_t n, Time time) {
    At(time, [this, n, life = m_nodes[n].life] {
      if (m_nodes[n].life == life && !m_nodes[n].alive) {
        Start(n);
      }
    });
  }
  void At(Time time, std::function<void()> run) {
    m_queue.push({std::max(time, m_now), m_sequence++, std::move(run)});
  }
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
  // Runs until the condition holds; returns the time it took, or nothing.
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

  bool HasLease(std::size_t t) const {
    const Node& node = m_nodes[NodeOfTarget(t)];
    return node.alive && ClockMs(node) < m_targets[t].deadline_ms;
  }
  // The target that holds an unexpired lease on the hash and runs.
  std::optional<std::size_t> Holder(std::uint64_t hash) const {
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
  // Whether the whole hash space, or one zone's half of it, is held.
  bool IsServed(std::optional<int> half = std::nullopt) const {
    const ServiceAssignment* assignment = truth().FindAssignment("s");
    if (assignment == nullptr) {
      return false;
    }
    return std::all_of(assignment->ranges.begin(), assignment->ranges.end(),
                       [&](const OwnedRange& owned) {
                         const bool second = owned.range.first > kHalf;
                         return (half && (*half == 1) != second) ||
                                Holder(owned.range.first).has_value();
                       });
  }

  static constexpr std::uint64_t kHalf = UINT64_MAX / 2;

 private:
  struct Event {
    Time time;
    std::uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(time, sequence) > std::tie(other.time, other.sequence);
    }
  };

  std::int64_t Uniform(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
  }

  void AddNode(std::string id, ZoneName zone) {
    Node node;
    node.id = std::move(id);
    node.zone = std::move(zone);
    node.clock_offset_ns = Uniform(1, 1000000) * 1000000;
    node.rate_per_mille = static_cast<int>(Uniform(-4, 4));
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
    service.key_ranges = {{{0, kHalf}, "z1"}, {{kHalf + 1, UINT64_MAX}, "z2"}};
    configuration.services = {service};
    configuration.tenants = {{"default"}};
    configuration.plans = std::move(plans);
    return configuration;
  }

  MonotonicTime Clock(const Node& node) const {
    return MonotonicTime(std::chrono::nanoseconds(
        m_now * (1000 + node.rate_per_mille) + node.clock_offset_ns));
  }
  std::int64_t ClockMs(const Node& node) const {
    return std::chrono::floor<Milliseconds>(Clock(node).time_since_epoch())
        .count();
  }

  Time Latency() {
    if (m_now < network_slow_until && Uniform(0, 9) == 0) {
      return Uniform(kMs, 900 * kMs);
    }
    return Uniform(200, 1500);
  }
  bool IsCut(std::size_t a, std::size_t b) const {
    return m_now < m_cut_until[a][b];
  }
  // Runs something in a node's process, after its pause if it is paused.
  void Deliver(std::size_t n, Time time, std::function<void()> run) {
    At(time, [this, n, life = m_nodes[n].life, run = std::move(run)] {
      Node& node = m_nodes[n];
      if (!node.alive || node.life != life) {
        return;
      }
      if (node.paused_until > m_now) {
        node.inbox.push_back(run);
      } else {
        run();
      }
    });
  }
  void Send(std::size_t from, std::size_t to, std::function<void()> run) {
    if (!IsCut(from, to)) {
      Deliver(to, m_now + Latency(), std::move(run));
    }
  }
  void Resume(std::size_t n, int life) {
    Node& node = m_nodes[n];
    if (node.life != life || node.paused_until > m_now) {
      return;
    }
    for (auto& run : std::exchange(node.inbox, {})) {
      run();
    }
  }

  void Start(std::size_t n) {
    Node& node = m_nodes[n];
    node.alive = true;
    node.paused_until = 0;
    const auto incarnation = static_cast<Incarnation>(Uniform(1, INT64_MAX));
    if (n >= m_instances.size()) {
      m_targets[n - m_instances.size()] = Target{incarnation};
      return;
    }
    ControllerOptions options{node.id, node.zone, incarnation};
    options.omitted = m_options.omitted;
    m_instances[n] = Instance{
        std::make_unique<Controller>(Controller::Create(options).value()), 0,
        m_instances[n].log_cut_until};
    Tick(n);
    ReadLog(n);
    ReadList(n);
  }

  void Tick(std::size_t i) {
    Controller& controller = *m_instances[i].controller;
    const MonotonicTime clock = Clock(m_nodes[i]);
    for (const Action& action : controller.Tick(clock)) {
      std::visit([&](const auto& a) { Perform(i, clock, a); }, action);
    }
    CheckState(i);
    if (!m_options.checks_orders) {
      SendRequests(i);
    }
    Deliver(i, m_now + Uniform(15, 20) * kMs, [this, i] { Tick(i); });
  }

  void ReadList(std::size_t i) {
    std::vector<PlatformInstance> list;
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
      const bool entry = n < m_instances.size();
      list.push_back({m_nodes[n].id,
                      entry ? PlatformRole::kEntry : PlatformRole::kTarget,
                      entry ? "" : "s", m_nodes[n].zone, std::to_string(n),
                      entry && m_instances[n].leaving});
    }
    m_instances[i].controller->OnInstances(Clock(m_nodes[i]), list);
    Deliver(i, m_now + 500 * kMs, [this, i] { ReadList(i); });
  }

  bool IsLogReachable(std::size_t i) const {
    return m_now >= log_down_until && m_now >= m_instances[i].log_cut_until;
  }
  void ReadLog(std::size_t i) {
    const MonotonicTime began = Clock(m_nodes[i]);
    const LogOffset from = m_instances[i].controller->next_read_offset();
    const Time slow = m_now < log_slow_until ? Uniform(0, 900 * kMs) : 0;
    At(m_now + Latency() + slow,
       [this, i, began, from, life = m_nodes[i].life,
        limit = m_now + 100 * kMs] { ServeRead(i, life, began, from, limit); });
  }
  void ServeRead(std::size_t i,
                 int life,
                 MonotonicTime began,
                 LogOffset from,
                 Time limit) {
    if (m_nodes[i].life != life) {
      return;
    }
    if (!IsLogReachable(i)) {
      Deliver(i, m_now + 50 * kMs, [this, i] { ReadLog(i); });
      return;
    }
    if (from > m_log.size() && m_now < limit) {
      At(m_now + 5 * kMs, [this, i, life, began, from, limit] {
        ServeRead(i, life, began, from, limit);
      });
      return;
    }
    LogRead read;
    read.first_offset = log_first;
    read.end_offset = m_log.size() + 1;
    // A read from below the first offset held returns no records.
    for (LogOffset offset = from < log_first ? read.end_offset : from;
         offset < read.end_offset; ++offset) {
      read.entries.push_back({offset, m_log[offset - 1]});
    }
    Deliver(i, m_now + Latency(), [this, i, began, read = std::move(read)] {
      m_instances[i].controller->OnLogRead(began, Clock(m_nodes[i]), read);
      CheckState(i);
      ReadLog(i);
    });
  }
  void Append(Record record) {
    m_log.push_back(std::move(record));
    ClusterState next = m_history.back();
    next.Apply(m_log.size(), m_log.back());
    m_history.push_back(std::move(next));
  }

  void Perform(std::size_t i, MonotonicTime /*clock*/, const AppendRecord& a) {
    // The reply is of no use to the controller, so it is always lost.
    At(m_now + Latency() + Uniform(0, 5 * kMs), [this, i, record = a.record] {
      if (IsLogReachable(i)) {
        Append(record);
      }
    });
  }
  void Perform(std::size_t i, MonotonicTime clock, const SendHeartbeat& a) {
    const std::size_t to = std::stoul(a.address);
    Send(i, to, [this, i, to, clock, heartbeat = a.heartbeat] {
      const Heartbeat answer = m_instances[to].controller->OnHeartbeat(
          Clock(m_nodes[to]), heartbeat);
      Send(to, i, [this, i, clock, answer] {
        m_instances[i].controller->OnHeartbeatAnswer(clock, Clock(m_nodes[i]),
                                                     answer);
      });
    });
  }
  void Perform(std::size_t i, MonotonicTime /*clock*/, const FetchRecords& a) {
    const std::size_t to = std::stoul(a.address);
    Send(i, to, [this, i, to, from = a.from] {
      const auto entries = m_instances[to].controller->RecordsFrom(from);
      Send(to, i, [this, i, entries] {
        m_instances[i].controller->OnPeerRecords(Clock(m_nodes[i]), entries);
        CheckState(i);
      });
    });
  }
  void Perform(std::size_t i, MonotonicTime clock, const SendStatusQuery& a) {
    Ask(i, std::stoul(a.address), clock, std::nullopt);
  }
  void Perform(std::size_t i, MonotonicTime clock, const SendLeaseOrder& a) {
    Ask(i, std::stoul(a.address), clock, a.order);
  }
  // Sends an order or a query; a refused connection fails at once, and an
  // answer that does not come fails after 200 ms.
  void Ask(std::size_t i,
           std::size_t n,
           MonotonicTime clock,
           const std::optional<LeaseOrder>& order) {
    const auto done = std::make_shared<bool>(false);
    const auto fail = [this, i, n, done] {
      if (!std::exchange(*done, true)) {
        m_instances[i].controller->OnTargetFailure(Clock(m_nodes[i]),
                                                   m_nodes[n].id);
      }
    };
    const bool refused = !m_nodes[n].alive && !IsCut(i, n);
    Deliver(i, m_now + (refused ? 2 * Latency() : 200 * kMs), fail);
    Send(i, n, [this, i, n, clock, order, done] {
      const LeaseAnswer answer = Arbitrate(n, order);
      Send(n, i, [this, i, n, clock, answer, done] {
        if (!std::exchange(*done, true)) {
          m_instances[i].controller->OnLeaseAnswer(clock, Clock(m_nodes[i]),
                                                   m_nodes[n].id, answer);
        }
      });
    });
  }

  LeaseAnswer Arbitrate(std::size_t n, const std::optional<LeaseOrder>& order) {
    Target& target = m_targets[n - m_instances.size()];
    const bool accepted =
        order && order->incarnation == target.incarnation &&
        (order->ranges ? order->assignment_version >= target.set
                       : order->assignment_version == target.set);
    if (accepted) {
      if (order->ranges) {
        if (target.set != order->assignment_version && Uniform(0, 3) == 0) {
          target.busy_until = m_now + Uniform(0, 300 * kMs);
        }
        target.set = order->assignment_version;
        target.ranges = *order->ranges;
      }
      target.deadline_ms = std::max(target.deadline_ms, order->deadline_ms);
      CheckLeases(n - m_instances.size());
    }
    LeaseAnswer answer;
    answer.accepted = accepted || !order;
    answer.incarnation = target.incarnation;
    answer.clock_ms = ClockMs(m_nodes[n]);
    answer.assignment_version = target.set;
    answer.deadline_ms = target.deadline_ms;
    answer.revoked_ranges_in_progress = m_now < target.busy_until ? 1 : 0;
    return answer;
  }

  // A lease begins or lasts longer only when an order is accepted, so two
  // leases on one hash are found by a check at each acceptance.
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
            Report("two leases on hash " +
                   ToHex(std::max(a.range.first, b.range.first)) + ": " +
                   m_nodes[NodeOfTarget(t)].id + " with token " +
                   std::to_string(a.token) + " and " +
                   m_nodes[NodeOfTarget(other)].id + " with token " +
                   std::to_string(b.token));
          }
        }
      }
    }
  }
  // Sends requests for some hashes to targets that do not check orders. A
  // request may run until its deadline, and only one target may run requests
  // for a hash.
  void SendRequests(std::size_t i) {
    const Controller& controller = *m_instances[i].controller;
    const auto* routes = controller.routing_table()->FindService("s");
    if (routes == nullptr ||
        Clock(m_nodes[i]) >= controller.confirmed_until()) {
      return;
    }
    for (std::size_t h = 0; h < m_run_until.size(); ++h) {
      const RouteRange* route = routes->Find(h * (UINT64_MAX / 16));
      if (route == nullptr || route->target == RouteRange::kNoTarget) {
        continue;
      }
      const TargetId& target = routes->targets[route->target].id;
      for (const auto& [other, until] : m_run_until[h]) {
        if (other != target && until > m_now) {
          std::string violation = m_nodes[i].id;
          violation.append(" sends to ").append(target);
          violation.append(" while requests may run at ").append(other);
          Report(violation);
        }
      }
      m_run_until[h][target] = m_now + kRequestTime;
    }
  }
  void CheckState(std::size_t i) {
    Instance& instance = m_instances[i];
    const ClusterState& state = instance.controller->state();
    if (!(state == m_history[state.offset()])) {
      Report(m_nodes[i].id + " holds a state that is not the fold of the log");
    }
    const LogOffset configuration =
        state.configuration() == nullptr ? 0 : state.configuration()->offset;
    if (configuration < instance.configuration) {
      Report(m_nodes[i].id + " went back to an earlier configuration");
    }
    instance.configuration = configuration;
  }
  void Report(std::string_view violation) {
    std::string line = std::to_string(m_now / kMs);
    line.append(" ms: ").append(violation);
    m_violations.push_back(std::move(line));
  }

  WorldOptions m_options;
  std::mt19937_64 m_random;
  Time m_now = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_steps = 0;
  std::priority_queue<Event> m_queue;
  std::vector<Node> m_nodes;
  std::vector<Instance> m_instances;
  std::vector<Target> m_targets;
  std::vector<std::vector<Time>> m_cut_until;
  std::vector<Record> m_log;
  // State after each offset, from 0.
  std::vector<ClusterState> m_history;
  std::vector<std::string> m_violations;
  // For some hashes, until when requests may run at a target.
  std::array<std::map<TargetId, Time>, 16> m_run_until;
};

}  // namespace snipehall::test
