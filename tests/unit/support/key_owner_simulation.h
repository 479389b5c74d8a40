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
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "coordination/key_leader.h"
#include "coordination/key_topic_cursor.h"

namespace snipehall::test {

// Simulates instances with a KeyLeader each, targets that check fencing tokens,
// and a log that can be restored from an older copy, in virtual time. Instances
// read the log directly or through a relay that lags behind. Records
// violations: two targets that hold a key at the same time, and a target that
// is granted a key with a token that is not above those of earlier owners. Runs
// are reproducible from the seed.
class KeyOwnerSimulation {
 public:
  static constexpr std::size_t kInstances = 3;
  // Index of a process that runs beside that of the same instance; see
  // StartReplacement().
  static constexpr std::size_t kReplacement = kInstances;
  static constexpr std::size_t kTargets = 5;
  // One key of this many is simulated.
  static constexpr KeyNumber kKeyStep = 1024;
  static constexpr std::size_t kKeys = (kLastKey + 1) / kKeyStep;

  // `first_era` is the era that the log shows at first; zero if it does not
  // count its restores, so that it may not be restored.
  explicit KeyOwnerSimulation(std::uint64_t seed,
                              LogEra first_era = kFirstLogEra)
      : m_random(seed), m_era(first_era) {
    for (std::size_t t = 0; t < kTargets; ++t) {
      StartTarget(t);
    }
    for (std::size_t i = 0; i < kInstances; ++i) {
      m_instances[i].id = "entry-" + std::to_string(i);
      StartInstance(i);
    }
    Repeat(Milliseconds(500), [this] { ListTargets(); });
  }
  KeyOwnerSimulation(const KeyOwnerSimulation&) = delete;
  KeyOwnerSimulation& operator=(const KeyOwnerSimulation&) = delete;

  MonotonicTime now() const { return m_now; }
  const std::vector<std::string>& violations() const { return m_violations; }
  // From now on, a target that holds a key by a token of its former process
  // counts as a violation too.
  void CheckProcesses() { m_checks_processes = true; }
  // Number of leases that a live target lost without a release.
  int lapsed_leases() const { return m_lapsed_leases; }
  // Number of simulated keys that no live target holds.
  std::size_t UnownedKeys() const {
    std::size_t count = 0;
    for (std::size_t k = 0; k < kKeys; ++k) {
      count += std::none_of(m_targets.begin(), m_targets.end(),
                            [&](const Target& target) {
                              return target.alive && Holds(target, k);
                            })
                   ? 1
                   : 0;
    }
    return count;
  }
  // Whether the log ends with a table of its present era.
  bool IsTableRestored() const {
    return !m_log.empty() && m_log.back().table.era == m_era;
  }

  void RunFor(Milliseconds time) {
    const MonotonicTime end = m_now + time;
    while (!m_events.empty() && m_events.top().time <= end) {
      Event event = m_events.top();
      m_events.pop();
      m_now = event.time;
      event.run();
    }
    m_now = end;
  }

  // Restores the log from a copy of `age`, at the end of an outage of `outage`.
  void RestoreLog(Milliseconds age, Milliseconds outage) {
    const MonotonicTime copied_at = m_now - age;
    m_log_down_until = std::max(m_log_down_until, m_now + outage);
    After(outage, [this, copied_at] {
      std::erase_if(m_log, [copied_at](const LogEntry& entry) {
        return entry.appended_at > copied_at;
      });
      ++m_era;
      m_era_began_at = m_now;
    });
  }
  void StopLog(Milliseconds time) {
    m_log_down_until = std::max(m_log_down_until, m_now + time);
  }
  // Responses to appends are lost until then, and some appends are executed
  // late.
  void DisturbAppends(Milliseconds time) {
    m_appends_disturbed_until = m_now + time;
  }
  void KillInstance(std::size_t i, Milliseconds downtime) {
    StopProcess(i);
    const int generation = m_instances[i].generation;
    After(downtime, [this, i, generation] {
      if (m_instances[i].generation == generation) {
        StartInstance(i);
      }
    });
  }
  void PauseInstance(std::size_t i, Milliseconds time) {
    m_instances[i].paused_until =
        std::max(m_instances[i].paused_until, m_now + time);
  }
  void CutInstanceFromLog(std::size_t i, Milliseconds time) {
    m_instances[i].log_cut_until = m_now + time;
  }
  // Starts another process of instance `i` at another address, while the former
  // one may still run, for `time`.
  void StartReplacement(std::size_t i, Milliseconds time) {
    KillInstance(kReplacement, Milliseconds(0));
    m_instances[kReplacement].id = m_instances[i].id;
    const int generation = m_instances[kReplacement].generation;
    After(time, [this, generation] {
      if (m_instances[kReplacement].generation == generation + 1) {
        StopProcess(kReplacement);
      }
    });
  }
  // The target's process ends; another one starts after `downtime`.
  void RestartTarget(std::size_t t, Milliseconds downtime) {
    m_targets[t].alive = false;
    const int generation = ++m_targets[t].generation;
    After(downtime, [this, t, generation] {
      if (m_targets[t].generation == generation) {
        StartTarget(t);
      }
    });
  }
  void FreezeTarget(std::size_t t, Milliseconds time) {
    m_targets[t].frozen_until = m_now + time;
  }
  // The target is no longer listed but can still be reached and holds its keys.
  void UnlistTarget(std::size_t t, Milliseconds time) {
    m_targets[t].unlisted_until = m_now + time;
  }
  // No instance reaches the target, but it stays listed.
  void CutTarget(std::size_t t, Milliseconds time) {
    m_targets[t].cut_until = m_now + time;
  }
  // Index of the instance that is the leader, or of any other.
  std::size_t Leader() const {
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      if (m_instances[i].alive && m_instances[i].leader->IsLeader(m_now)) {
        return i;
      }
    }
    return 0;
  }
  std::int64_t Draw(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
  }

 private:
  static constexpr const char* kService = "catalog";
  static constexpr Milliseconds kLeaderInterval{25};
  // Time without a serving leader after which an instance takes over.
  static constexpr Milliseconds kTakeOverTime{1600};
  static constexpr Milliseconds kMaxReadAge{2000};

  struct Event {
    MonotonicTime time;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(time, number) > std::tie(other.time, other.number);
    }
  };
  struct LogEntry {
    KeyTable table;
    MonotonicTime appended_at;
  };
  struct KeyHold {
    FencingToken seen_token = 0;
    FencingToken token = 0;
    MonotonicTime until;
  };
  struct Target {
    TargetId id;
    std::int64_t start_time_ms = 0;
    double clock_slowness = 1;
    bool alive = false;
    int generation = 0;
    MonotonicTime frozen_until;
    MonotonicTime cut_until;
    MonotonicTime unlisted_until;
    MonotonicTime unlisted_at;
    std::array<KeyHold, kKeys> keys;
  };
  // The greatest token by which a target has held a key.
  struct GreatestToken {
    TargetId owner;
    std::int64_t start_time_ms = 0;
    FencingToken token = 0;
  };
  struct Instance {
    InstanceId id;
    std::unique_ptr<KeyLeader> leader;
    KeyTopicCursor cursor;
    Incarnation incarnation = 0;
    bool alive = false;
    bool appending = false;
    int generation = 0;
    MonotonicTime paused_until;
    MonotonicTime log_cut_until;
    MonotonicTime recovered_at;
    // When the leader was last seen to serve.
    MonotonicTime leader_seen_at;
    Milliseconds take_over_delay{0};
  };

  void At(MonotonicTime time, std::function<void()> run) {
    m_events.push({std::max(time, m_now), m_event_count++, std::move(run)});
  }
  void After(Milliseconds time, std::function<void()> run) {
    At(m_now + time, std::move(run));
  }
  void Repeat(Milliseconds interval, const std::function<void()>& run) {
    After(interval, [this, interval, run] {
      run();
      Repeat(interval, run);
    });
  }
  // Runs a function on the instance's present process after `time`, or when it
  // resumes from a pause.
  void OnInstance(std::size_t i, Milliseconds time, std::function<void()> run) {
    After(time, [this, i, generation = m_instances[i].generation,
                 run = std::move(run)] {
      const Instance& instance = m_instances[i];
      if (instance.generation != generation) {
        return;
      }
      if (instance.paused_until > m_now) {
        OnInstance(i, Remaining(instance.paused_until), run);
      } else {
        run();
      }
    });
  }
  Milliseconds Remaining(MonotonicTime until) const {
    return std::chrono::ceil<Milliseconds>(until - m_now);
  }
  Milliseconds DrawLatency() {
    return Milliseconds(Draw(0, 49) == 0 ? Draw(50, 900) : Draw(1, 8));
  }

  void StartTarget(std::size_t t) {
    const int generation = m_targets[t].generation;
    m_targets[t] = Target{};
    m_targets[t].generation = generation;
    m_targets[t].id = "target-" + std::to_string(t);
    m_targets[t].start_time_ms = ++m_target_starts;
    m_targets[t].clock_slowness = 1 + static_cast<double>(Draw(0, 20)) / 1000;
    m_targets[t].alive = true;
  }

  static std::string Address(std::size_t i) {
    return "address-" + std::to_string(i);
  }

  void StopProcess(std::size_t i) {
    ++m_instances[i].generation;
    m_instances[i].alive = false;
  }

  void StartInstance(std::size_t i) {
    Instance& instance = m_instances[i];
    const int generation = instance.generation + 1;
    const MonotonicTime cut_until = instance.log_cut_until;
    const InstanceId id = instance.id;
    instance = Instance{};
    instance.generation = generation;
    instance.log_cut_until = cut_until;
    instance.id = id;
    instance.incarnation = ++m_process_starts;
    instance.leader =
        std::make_unique<KeyLeader>(id, instance.incarnation, Address(i));
    instance.leader->SetKeyedServices({{kService, 0}});
    instance.alive = true;
    instance.leader_seen_at = m_now;
    instance.take_over_delay = kTakeOverTime + Milliseconds(Draw(0, 800));
    PassTargets(i);
    ReadLog(i);
    Work(i);
  }

  // A target that has ended is listed for three seconds more.
  void ListTargets() {
    TargetList list;
    for (Target& target : m_targets) {
      if (target.alive && m_now >= target.unlisted_until) {
        target.unlisted_at = m_now + Milliseconds(3000);
      }
      if (m_now < target.unlisted_at) {
        ListedTarget listed;
        listed.id = target.id;
        listed.service = kService;
        listed.address = target.id;
        listed.start_time_ms = target.start_time_ms;
        list.emplace(target.id, listed);
      }
    }
    m_target_list = std::move(list);
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      PassTargets(i);
    }
  }
  void PassTargets(std::size_t i) {
    if (m_instances[i].alive) {
      OnInstance(i, Milliseconds(Draw(1, 300)),
                 [this, i, list = m_target_list] {
                   m_instances[i].leader->OnTargets(m_now, list);
                 });
    }
  }

  bool ReachesLog(std::size_t i) const {
    return m_now >= m_log_down_until && m_now >= m_instances[i].log_cut_until;
  }

  // Reads the key topic at short intervals, in place of a long poll.
  void ReadLog(std::size_t i) {
    const MonotonicTime sent_at = m_now;
    const Milliseconds latency = DrawLatency();
    if (!ReachesLog(i)) {
      OnInstance(i, Milliseconds(Draw(50, 600)), [this, i] { ReadLog(i); });
      return;
    }
    const Instance& instance = m_instances[i];
    const TopicPosition from = instance.cursor.position();
    // The leader reads directly.
    const bool relayed = !instance.leader->IsNamedLeader() && Draw(0, 3) == 0;
    const MonotonicTime read_at =
        relayed ? std::max(m_era_began_at, m_now - Milliseconds(Draw(0, 1500)))
                : m_now;
    const std::size_t size = LogSize(read_at);
    if (from.era == m_era && size < from.offset) {
      // An instance does not read through a relay that is behind it.
      OnInstance(i, latency, [this, i] { ReadLog(i); });
      return;
    }
    RecordPage page;
    page.sent_at = std::min(sent_at, read_at);
    page.era = m_era;
    page.end_offset = size;
    std::vector<KeyTable> tables;
    // A compacted log has only the newest version.
    const bool continues = instance.cursor.known() && from.era == m_era &&
                           from.offset <= size && Draw(0, 3) != 0;
    for (std::size_t n = continues ? from.offset
                                   : std::max<std::size_t>(size, 1) - 1;
         n < size; ++n) {
      tables.push_back(m_log[n].table);
    }
    OnInstance(i, latency, [this, i, page, tables, relayed]() mutable {
      // A relay states the age of its records.
      page.received_at = relayed ? page.sent_at : m_now;
      OnPage(i, page, tables);
      OnInstance(i, Milliseconds(Draw(5, 40)), [this, i] { ReadLog(i); });
    });
  }

  // Number of versions that the log had at `time` in its present era.
  std::size_t LogSize(MonotonicTime time) const {
    return static_cast<std::size_t>(std::count_if(
        m_log.begin(), m_log.end(),
        [time](const auto& entry) { return entry.appended_at <= time; }));
  }

  void OnPage(std::size_t i,
              const RecordPage& page,
              const std::vector<KeyTable>& tables) {
    Instance& instance = m_instances[i];
    const TopicPosition known = instance.cursor.position();
    if (instance.cursor.known() &&
        (page.era < known.era ||
         (page.era == known.era && page.end_offset < known.offset))) {
      return;
    }
    const bool gap = page.received_at > instance.cursor.read_at() + kMaxReadAge;
    const KeyTopicCursor::PageResult result = instance.cursor.OnPage(page);
    if (gap || result.new_era) {
      instance.recovered_at = m_now;
    }
    if (result.new_era) {
      instance.leader->OnLogEra(m_now, page.era, result.followed_previous_era);
    }
    if (result.has_news) {
      for (const KeyTable& table : tables) {
        ApplyTable(i, table);
      }
    }
    if (result.is_newest) {
      instance.leader->OnConfirmed(page.sent_at);
    }
  }

  void ApplyTable(std::size_t i, const KeyTable& table) {
    KeyLeader& leader = *m_instances[i].leader;
    const bool was_named = leader.IsNamedLeader();
    const LogEra former_era = leader.table().era;
    const std::uint64_t former_term = leader.table().term;
    const Milliseconds remaining = leader.RemainingGrantTime(m_now);
    leader.OnTable(m_now, table);
    if (leader.table().term != former_term) {
      m_instances[i].leader_seen_at = m_now;
    }
    if (leader.KnowsNewerAssignments()) {
      SendToLeader(leader.table(), [term = leader.table().term](
                                       KeyLeader& receiver, MonotonicTime) {
        receiver.OnTableOutdated(term);
      });
    }
    if (was_named && !leader.IsNamedLeader() &&
        leader.table().era == former_era) {
      const LeaderReplaced report{leader.table().term, remaining,
                                  m_instances[i].incarnation};
      SendToLeader(leader.table(),
                   [report](KeyLeader& receiver, MonotonicTime now) {
                     receiver.OnLeaderReplaced(now, report);
                   });
    }
  }

  // Sends a message to the address of the table's leader; `receive` runs on the
  // process that is there when it arrives, which may be late.
  void SendToLeader(
      const KeyTable& table,
      const std::function<void(KeyLeader&, MonotonicTime)>& receive) {
    const Milliseconds latency =
        Draw(0, 5) == 0 ? Milliseconds(Draw(500, 6000)) : DrawLatency();
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      if (Address(i) == table.leader_address) {
        After(latency, [this, i, receive] {
          if (m_instances[i].alive) {
            OnInstance(i, Milliseconds(0), [this, i, receive] {
              receive(*m_instances[i].leader, m_now);
            });
          }
        });
      }
    }
  }

  // Whether the instance is to replace the leader.
  bool ShouldTakeOver(std::size_t i) {
    Instance& instance = m_instances[i];
    for (std::size_t j = 0; j < m_instances.size(); ++j) {
      const Instance& other = m_instances[j];
      if (other.alive &&
          Address(j) == instance.leader->table().leader_address &&
          other.paused_until <= m_now && other.leader->IsLeader(m_now)) {
        instance.leader_seen_at = m_now;
      }
    }
    const bool log_reachable =
        m_now < instance.cursor.read_at() + kMaxReadAge &&
        m_now >= instance.recovered_at + KeyLeader::kRestoreTime;
    return instance.leader->ShouldTakeOver(m_now) ||
           (log_reachable &&
            m_now >= instance.leader_seen_at + instance.take_over_delay);
  }

  // Appends tables and sends orders that are due.
  void Work(std::size_t i) {
    OnInstance(i, kLeaderInterval, [this, i] { Work(i); });
    Instance& instance = m_instances[i];
    if (!instance.cursor.known()) {
      return;
    }
    const bool take_over = ShouldTakeOver(i);
    if (!instance.appending) {
      if (auto next = instance.leader->NextTable(m_now, take_over)) {
        Append(i, *next);
      }
    }
    for (const KeyOrder& order : instance.leader->TakeDueOrders(m_now)) {
      SendOrder(i, order);
    }
  }

  void Append(std::size_t i, const KeyTable& table) {
    m_instances[i].appending = true;
    const TopicPosition at = m_instances[i].cursor.position();
    const bool disturbed = m_now < m_appends_disturbed_until;
    const Milliseconds delay = disturbed && Draw(0, 2) == 0
                                   ? Milliseconds(Draw(500, 4000))
                                   : DrawLatency();
    const bool answered = !disturbed || Draw(0, 2) != 0;
    const auto result = std::make_shared<std::optional<TopicPosition>>();
    const auto done = std::make_shared<bool>(false);
    After(delay, [this, i, at, table, result] {
      if (ReachesLog(i) && m_log.size() == at.offset) {
        m_log.push_back({table, m_now});
        *result = TopicPosition{m_era, m_log.size()};
      }
    });
    const MonotonicTime began = m_now;
    const Milliseconds end =
        answered ? std::min(delay + DrawLatency(), Milliseconds(1000))
                 : Milliseconds(1000);
    OnInstance(i, end, [this, i, at, table, began, result, answered] {
      Instance& instance = m_instances[i];
      if (answered && *result && instance.cursor.OnAppended(at, **result)) {
        ApplyTable(i, table);
        instance.leader->OnConfirmed(began);
        instance.appending = false;
      } else {
        OnInstance(i, Milliseconds(300),
                   [this, i] { m_instances[i].appending = false; });
      }
    });
  }

  void SendOrder(std::size_t i, const KeyOrder& order) {
    const auto result = std::make_shared<std::optional<KeyOrderResult>>();
    const std::size_t t = static_cast<std::size_t>(order.target.back() - '0');
    const Milliseconds limit = order.kind == KeyOrder::Kind::kRelease
                                   ? Milliseconds(4000)
                                   : KeyLeader::kOrderTimeout;
    const Milliseconds latency = DrawLatency();
    const bool lost = m_now < m_targets[t].cut_until;
    if (!lost && latency < limit) {
      // The order goes over a connection to one process.
      After(latency,
            [this, t, order, result, generation = m_targets[t].generation] {
              if (m_targets[t].generation == generation) {
                Deliver(t, order, result);
              }
            });
    }
    Await(i, order, m_now + limit, result);
  }

  // Passes the result of an order to its sender when there is one, or at
  // `deadline`.
  void Await(std::size_t i,
             const KeyOrder& order,
             MonotonicTime deadline,
             const std::shared_ptr<std::optional<KeyOrderResult>>& result) {
    OnInstance(i, Milliseconds(5), [this, i, order, deadline, result] {
      if (*result || m_now >= deadline) {
        m_instances[i].leader->OnOrderResult(
            m_now, order, result->value_or(KeyOrderResult{}));
      } else {
        Await(i, order, deadline, result);
      }
    });
  }

  // The order arrives at the target, which carries it out now or when it is
  // thawed.
  void Deliver(std::size_t t,
               const KeyOrder& order,
               const std::shared_ptr<std::optional<KeyOrderResult>>& result) {
    Target& target = m_targets[t];
    if (!target.alive) {
      result->emplace().outcome = KeyOrderOutcome::kNotSent;
      return;
    }
    const MonotonicTime arrived = m_now;
    At(std::max(m_now, target.frozen_until),
       [this, t, order, result, arrived, generation = target.generation] {
         if (m_targets[t].generation == generation) {
           Execute(t, order, arrived, result);
         }
       });
  }

  static std::pair<std::size_t, std::size_t> KeyIndexes(const KeyOrder& order) {
    return {(order.first + kKeyStep - 1) / kKeyStep, order.last / kKeyStep};
  }

  void Execute(std::size_t t,
               const KeyOrder& order,
               MonotonicTime arrived,
               const std::shared_ptr<std::optional<KeyOrderResult>>& result) {
    Target& target = m_targets[t];
    const auto [first, last] = KeyIndexes(order);
    if (order.kind == KeyOrder::Kind::kGrant) {
      for (std::size_t k = first; k <= last; ++k) {
        if (target.keys[k].seen_token > order.fencing_token) {
          result->emplace().outcome = KeyOrderOutcome::kFenced;
          return;
        }
      }
    }
    const auto time = std::chrono::duration_cast<Milliseconds>(
        order.grant_duration * target.clock_slowness);
    for (std::size_t k = first; k <= last; ++k) {
      KeyHold& key = target.keys[k];
      if (order.kind == KeyOrder::Kind::kRelease) {
        key.seen_token = std::max(key.seen_token, order.fencing_token);
        key.until = MonotonicTime();
      } else if (order.kind == KeyOrder::Kind::kGrant) {
        const bool lapsed = key.until != MonotonicTime() && key.until <= m_now;
        m_lapsed_leases += lapsed ? 1 : 0;
        key = {order.fencing_token, order.fencing_token, arrived + time};
        CheckOwner(target, k);
      }
    }
    KeyOrderResult done;
    done.outcome = KeyOrderOutcome::kDone;
    After(Milliseconds(Draw(0, 3)), [result, done] { *result = done; });
  }

  bool Holds(const Target& target, std::size_t k) const {
    return m_now < target.keys[k].until;
  }

  void CheckOwner(const Target& target, std::size_t k) {
    if (!Holds(target, k)) {
      return;
    }
    for (const Target& other : m_targets) {
      if (other.id != target.id && other.alive && Holds(other, k)) {
        AddViolation("two owners", target, k, other.id);
      }
    }
    GreatestToken& greatest = m_greatest_tokens[k];
    const FencingToken own = target.keys[k].token;
    const bool other_process =
        greatest.owner != target.id ||
        (m_checks_processes && greatest.start_time_ms != target.start_time_ms);
    if (other_process && own <= greatest.token) {
      AddViolation("token not above that of", target, k, greatest.owner);
    }
    if (own >= greatest.token) {
      greatest = {target.id, target.start_time_ms, own};
    }
  }

  void AddViolation(const char* what,
                    const Target& target,
                    std::size_t k,
                    const TargetId& other) {
    const auto ms = std::chrono::duration_cast<Milliseconds>(m_now - kStart);
    m_violations.push_back(std::to_string(ms.count()) + " ms: " + what + " " +
                           other + ": " + target.id + ", key " +
                           std::to_string(k * kKeyStep) + ", token " +
                           std::to_string(target.keys[k].token));
  }

  static constexpr MonotonicTime kStart{std::chrono::hours(1)};

  std::mt19937_64 m_random;
  MonotonicTime m_now = kStart;
  std::priority_queue<Event> m_events;
  std::uint64_t m_event_count = 0;
  std::vector<LogEntry> m_log;
  LogEra m_era;
  MonotonicTime m_era_began_at = kStart;
  MonotonicTime m_log_down_until;
  MonotonicTime m_appends_disturbed_until;
  std::array<Target, kTargets> m_targets;
  std::array<Instance, kInstances + 1> m_instances;
  TargetList m_target_list;
  std::int64_t m_target_starts = 0;
  Incarnation m_process_starts = 0;
  std::array<GreatestToken, kKeys> m_greatest_tokens;
  bool m_checks_processes = false;
  std::vector<std::string> m_violations;
  int m_lapsed_leases = 0;
};

}  // namespace snipehall::test
