#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/outcome/try.hpp>
#include <concepts>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "coordination/key_lead.h"
#include "coordination/lead_watch.h"
#include "coordination/relay_planner.h"
#include "coordination/target_registry.h"
#include "protocol/key_table_codec.h"
#include "transport/event_log.h"
#include "transport/gateway/gateway_metrics.h"
#include "transport/gateway/gateway_settings.h"
#include "transport/gateway/lead_link.h"
#include "transport/gateway/relay_server.h"
#include "transport/gateway/routing_state.h"
#include "transport/record_feed.h"
#include "transport/spawn.h"

namespace snipehall {

// What a gateway needs of the platform that it runs on.
//
// NewLog() gives a connection to the log; each feed has its own.
// NewKeyOrders() gives a client that carries orders to one target, one at a
// time. ParsePolicy() and ParseTarget() read the operator's and the targets'
// records.
template <typename T>
concept GatewayPlatform = requires(T platform,
                                   const std::string& text,
                                   const std::string& id,
                                   const KeyOrder& order,
                                   MonotonicTime time) {
  requires RecordLog<typename T::Log>;
  { platform.NewLog() } -> std::same_as<std::shared_ptr<typename T::Log>>;
  {platform.NewKeyOrders(id)};
  {
    platform.ParsePolicy(text)
    } -> std::same_as<Result<std::shared_ptr<const RoutePolicy>>>;
  {
    platform.ParseTarget(id, text, time)
    } -> std::same_as<Result<ListedTarget>>;
  { platform.policy_topic() } -> std::convertible_to<std::string>;
  { platform.policy_key() } -> std::convertible_to<std::string>;
  { platform.target_topic() } -> std::convertible_to<std::string>;
  { platform.key_topic() } -> std::convertible_to<std::string>;
};

// Keeps an instance's routing state up to date with the platform's log and, as
// the lead, orders the targets which keys they own.
template <GatewayPlatform Platform>
class GatewayControl {
 public:
  GatewayControl(const Executor& executor,
                 const GatewaySettings& settings,
                 Platform& platform,
                 RoutingState& state,
                 GatewayMetrics& metrics,
                 EventLog& log,
                 LeadLink& link,
                 std::uint64_t seed)
      : m_executor(executor),
        m_platform(platform),
        m_state(state),
        m_metrics(metrics),
        m_log(log),
        m_link(link),
        m_instance(settings.instance),
        m_watch(seed),
        m_lead(settings.instance, settings.peer_address),
        m_append_log(platform.NewLog()),
        m_lead_timer(m_executor),
        m_relay(std::make_shared<RelayChoice>()),
        m_policy_feed(m_executor,
                      platform.policy_topic(),
                      NewFeedLog({Milliseconds(0), kWait}),
                      Events("configuration", &GatewayControl::OnPolicyPage)),
        m_target_feed(m_executor,
                      platform.target_topic(),
                      NewFeedLog({kTargetInterval, Milliseconds(0)}),
                      Events("targets", &GatewayControl::OnTargetPage)),
        m_key_feed(m_executor,
                   platform.key_topic(),
                   NewFeedLog({Milliseconds(0), kWait}),
                   Events("keys", &GatewayControl::OnKeyPage)),
        m_zone(settings.zone),
        m_link_rate(settings.link),
        m_peer_address(settings.peer_address),
        m_relay_server(executor,
                       [this](std::string_view topic, std::uint64_t from) {
                         return FindRecords(topic, from);
                       }) {}

  // Binds the listener for other instances and starts all work.
  Result<void> Start() {
    BOOST_OUTCOME_TRY(m_relay_server.Start(m_peer_address));
    Spawn(m_executor, m_policy_feed.Run());
    Spawn(m_executor, m_target_feed.Run());
    Spawn(m_executor, m_key_feed.Run());
    Spawn(m_executor, RunLead());
    return boost::outcome_v2::success();
  }

  // Configuration, targets and owners are known.
  bool IsReady() const {
    if (!m_state.policy() || !m_has_targets || !m_has_keys_end) {
      return false;
    }
    for (const auto& [name, policy] : m_state.policy()->services()) {
      if (policy.keyed && !m_state.keys().services.contains(name) &&
          HasTarget(name)) {
        return false;
      }
    }
    return true;
  }

  // Brings the metrics of the control up to date.
  void UpdateMetrics() {
    for (const Feed* feed : {&m_policy_feed, &m_target_feed, &m_key_feed}) {
      const std::chrono::duration<double> age = Now() - feed->cache().read_at();
      m_metrics.Set("age_seconds " + feed->topic(), age.count());
      m_metrics.Set("end " + feed->topic(),
                    static_cast<double>(feed->cache().end()));
    }
    m_metrics.Set("lead", m_lead.IsLead(Now()) ? 1 : 0);
    m_metrics.Set("configuration",
                  m_state.policy()
                      ? static_cast<double>(m_state.policy()->version())
                      : 0);
  }

  // No connection to the target could be made.
  void OnTargetUnreachable(std::string_view target) {
    m_lead.OnTargetUnreachable(Now(), target);
    WakeLead();
  }

  // Reports the load of keys to the lead, which answers.
  void Report(std::vector<KeyLoadReport> reports) {
    const MonotonicTime now = Now();
    if (m_lead.IsNamedLead()) {
      for (const KeyLoadReport& report : reports) {
        m_lead.OnLoad(now, report);
      }
      // The lead reads the log in any case, so its zone reads from it.
      m_relays.OnReport(now, m_zone, m_peer_address, m_link_rate);
      return;
    }
    if (!m_has_keys_end || !HasKeyedService()) {
      return;
    }
    if (reports.empty()) {
      reports.emplace_back();
    }
    const std::string relay_address =
        CanPassRecordsOn() ? m_peer_address : std::string();
    for (KeyLoadReport& report : reports) {
      m_link.Send(m_state.keys().lead_address,
                  {m_instance, LeadReport{m_zone, relay_address,
                                          std::move(report), m_link_rate}});
    }
    m_watch.OnReportSent();
    if (m_watch.IsLost()) {
      WakeLead();
    }
  }

  void OnMessage(const LeadLink::Endpoint& sender, const LeadMessage& message) {
    const MonotonicTime now = Now();
    if (const auto* report = std::get_if<LeadReport>(&message.content)) {
      if (!m_has_keys_end) {
        // Whether this instance is the lead is not known yet.
        return;
      }
      // A lead that cannot read the log is replaced by an instance that can,
      // and one with a slow link by the sender with a fast one.
      if (!m_lead.IsLead(now) || m_draining ||
          RelayPlanner::IsMuchFaster(report->link, m_link_rate)) {
        m_link.Send(sender, {m_instance, LeadNotServing()});
        return;
      }
      if (!report->load.service.empty()) {
        m_lead.OnLoad(now, report->load);
      }
      const std::string reader = m_relays.OnReport(
          now, report->zone, report->relay_address, report->link);
      m_link.Send(sender,
                  {m_instance, LeadServing{reader, m_relays.fastest_link()}});
      m_reporters.insert_or_assign(sender, now);
      std::vector<FenceToken> ended = m_lead.EndedMoves();
      if (!ended.empty()) {
        m_link.Send(sender, {m_instance, LeadSettled{std::move(ended)}});
      }
    } else if (const auto* serving =
                   std::get_if<LeadServing>(&message.content)) {
      m_watch.OnServing(message.from, RelayPlanner::IsMuchFaster(
                                          serving->fastest_link, m_link_rate));
      SetReader(serving->reader);
    } else if (const auto* settled =
                   std::get_if<LeadSettled>(&message.content)) {
      m_state.AddSettled(settled->fences);
    } else if (std::holds_alternative<LeadNotServing>(message.content)) {
      m_watch.OnNotServing(message.from);
    } else if (const auto* replaced =
                   std::get_if<LeadReplaced>(&message.content)) {
      m_lead.OnPredecessor(now, *replaced);
    }
  }

  // From now on other instances are told to take over the lead.
  void BeginDrain() { m_draining = true; }

  void Stop() {
    m_stopped = true;
    m_policy_feed.Close();
    m_target_feed.Close();
    m_key_feed.Close();
    m_relay_server.Close();
    m_append_log->Close();
    m_lead_timer.cancel();
    for (const auto& [address, idle] : m_order_clients) {
      for (const std::shared_ptr<Orders>& orders : idle) {
        orders->Close();
      }
    }
  }

 private:
  using Feed = RecordFeed<typename Platform::Log>;
  using Orders = typename decltype(std::declval<Platform>().NewKeyOrders(
      std::declval<std::string>()))::element_type;

  // Time between reads of the targets' reports. Each target reports several
  // times a second in all, so waiting for records would cost a call for each.
  // A leaving target must be known within two seconds.
  static constexpr Milliseconds kTargetInterval{800};
  // How long reads of rarely changed topics wait. The log may leave a read
  // unanswered after an outage, and a change must be known within two seconds;
  // a lead's reads confirm it, so they must end well within
  // KeyLead::kLeadLease.
  static constexpr Milliseconds kWait{800};
  // Time between two looks at due orders of an instance that is not the lead.
  static constexpr Milliseconds kIdleTick{20000};
  // Time between two looks at due orders.
  static constexpr Milliseconds kLeadTick{100};
  static constexpr Milliseconds kCallLimit{1000};
  // Least time between two datagrams about ended moves to each instance.
  static constexpr Milliseconds kAnnounceInterval{50};
  // Instances that have not reported for longer are not told; three reports.
  static constexpr Milliseconds kReporterLifetime{1200};
  // Age of the newest read of the key table up to which the log counts as
  // reachable: longer than a read waits, and one that is passed on.
  static constexpr Milliseconds kReachableAge{2000};
  // Age up to which records may be passed on; older ones are refused.
  static constexpr Milliseconds kPassedOnAge =
      RelayedLog<typename Platform::Log>::kMaxAge;
  // Time in which a lead reads the log after an outage, and its answer to the
  // next report arrives.
  static constexpr Milliseconds kConfirmTime{1500};

  static MonotonicTime Now() { return std::chrono::steady_clock::now(); }

  bool HasTarget(std::string_view service) const {
    for (const auto& [id, target] : m_state.targets()) {
      if (target.service == service) {
        return true;
      }
    }
    return false;
  }

  typename Feed::Events Events(
      const char* topic,
      void (GatewayControl::*on_page)(const RecordPage&, bool)) {
    return {
        [this, topic, on_page](const RecordPage& page, bool whole) {
          NoteDependency(topic, std::nullopt);
          (this->*on_page)(page, whole);
          if (!page.records.empty()) {
            m_relay_server.Notify();
          }
        },
        [this, topic](const Error& error) { NoteDependency(topic, error); }};
  }

  std::shared_ptr<RelayedLog<typename Platform::Log>> NewFeedLog(
      typename RelayedLog<typename Platform::Log>::Pace pace) {
    return std::make_shared<RelayedLog<typename Platform::Log>>(
        m_executor, m_platform.NewLog(), m_relay, pace);
  }

  std::optional<RecordPage> FindRecords(std::string_view topic,
                                        std::uint64_t from) const {
    for (const Feed* feed : {&m_policy_feed, &m_target_feed, &m_key_feed}) {
      if (feed->topic() == topic) {
        return feed->cache().Read(from);
      }
    }
    return std::nullopt;
  }

  // Whether other instances may read the log's records from this one: its own
  // are new, and it does not stop.
  bool CanPassRecordsOn() const {
    const MonotonicTime now = Now();
    const auto feeds = {&m_policy_feed, &m_target_feed, &m_key_feed};
    return !m_draining &&
           std::all_of(feeds.begin(), feeds.end(), [now](const Feed* feed) {
             return now - feed->cache().read_at() < kPassedOnAge;
           });
  }

  // Reads the log's records from `reader`, or from the log itself when that is
  // this instance, or this instance is the lead. Without a reader, goes on as
  // before.
  void SetReader(const std::string& reader) {
    if (reader.empty()) {
      return;
    }
    const bool direct = reader == m_peer_address || m_lead.IsNamedLead();
    const std::string address = direct ? std::string() : reader;
    if (address != m_relay->address) {
      m_log.Write("reader", {{"address", address}});
      m_relay->address = address;
      m_relay->direct_until = MonotonicTime();
    }
  }

  // Logs that a feed was lost or regained.
  void NoteDependency(const std::string& topic, std::optional<Error> error) {
    bool& lost = m_lost[topic];
    if (error) {
      m_metrics.Count("log_read_failed");
    }
    if (lost != error.has_value()) {
      lost = error.has_value();
      m_log.Write(lost ? "dependency_lost" : "dependency_regained",
                  {{"topic", topic},
                   {"error", error ? error->message : std::string()}});
    }
  }

  void OnPolicyPage(const RecordPage& page, bool /*whole*/) {
    for (const KeyedRecord& record : page.records) {
      if (record.key != m_platform.policy_key() || record.value.empty()) {
        continue;
      }
      const auto policy = m_platform.ParsePolicy(record.value);
      if (!policy) {
        m_log.Write("configuration_refused",
                    {{"error", policy.error().message}});
        continue;
      }
      const std::uint64_t version = policy.value()->version();
      const std::uint64_t known =
          m_state.policy() ? m_state.policy()->version() : 0;
      if (m_state.policy() && version <= known) {
        continue;
      }
      m_log.Write("configuration", {{"version", std::to_string(version)},
                                    {"before", std::to_string(known)}});
      m_state.SetPolicy(policy.value());
      std::set<ServiceName, std::less<>> keyed;
      for (const auto& [name, service] : policy.value()->services()) {
        if (service.keyed) {
          keyed.insert(name);
        }
      }
      m_lead.SetKeyedServices(std::move(keyed));
    }
  }

  void OnTargetPage(const RecordPage& page, bool whole) {
    const MonotonicTime now = Now();
    TargetRegistry::Changes changes;
    for (const KeyedRecord& record : page.records) {
      std::optional<ListedTarget>& change = changes[record.key];
      change.reset();
      if (record.value.empty()) {
        continue;
      }
      auto parsed = m_platform.ParseTarget(record.key, record.value, now);
      if (parsed) {
        change = std::move(parsed).value();
      } else {
        m_metrics.Count("unreadable_target");
      }
    }
    m_registry.OnRead(now, std::move(changes), whole);
    m_registry.Expire(now);
    m_has_targets = true;
    if (m_registry.TakeChanged()) {
      m_metrics.Set("targets",
                    static_cast<double>(m_registry.targets().size()));
      LogTargets(m_state.targets(), m_registry.targets());
      m_state.SetTargets(m_registry.targets());
      m_lead.OnTargets(now, m_registry.targets());
      WakeLead();
    }
  }

  // Logs which targets came, changed their state or went.
  void LogTargets(const TargetList& before, const TargetList& after) {
    for (const auto& [id, target] : after) {
      const auto known = before.find(id);
      if (known == before.end() || known->second.leaving != target.leaving ||
          known->second.born_ms != target.born_ms) {
        m_log.Write("target", {{"id", id},
                               {"service", target.service},
                               {"state", target.leaving ? "leaving" : "ready"},
                               {"report", std::to_string(target.report)}});
      }
    }
    for (const auto& [id, target] : before) {
      if (!after.contains(id)) {
        m_log.Write("target", {{"id", id},
                               {"service", target.service},
                               {"state", "gone"},
                               {"report", std::to_string(target.report)}});
      }
    }
  }

  void OnKeyPage(const RecordPage& page, bool /*whole*/) {
    const MonotonicTime now = Now();
    if (m_has_keys_end && page.answered > m_keys_read_at + kReachableAge) {
      m_log_back_at = now;
    }
    m_keys_read_at = page.answered;
    if (page.end > m_keys_end || !m_has_keys_end) {
      for (const KeyedRecord& record : page.records) {
        auto table = DecodeKeyTable(record.value);
        if (!table) {
          m_log.Write("keys_unreadable", {{"error", table.error().message}});
          continue;
        }
        ApplyKeys(now, std::move(table).value());
      }
      m_keys_end = page.end;
      m_has_keys_end = true;
    }
    if (page.end == m_keys_end) {
      m_lead.OnConfirmed(page.began);
    }
    WakeLead();
  }

  bool HasKeyedService() const {
    if (!m_state.policy()) {
      return false;
    }
    const auto& services = m_state.policy()->services();
    return std::any_of(services.begin(), services.end(),
                       [](const auto& item) { return item.second.keyed; });
  }

  // Without the log no instance can become the lead. After an outage the lead
  // is given time to be confirmed again.
  bool CanReachLog() const {
    const MonotonicTime now = Now();
    return now - m_key_feed.cache().read_at() < kReachableAge &&
           now >= m_log_back_at + kConfirmTime;
  }

  void ApplyKeys(MonotonicTime now, KeyTable table) {
    if (table.lead != m_state.keys().lead) {
      m_log.Write("lead", {{"lead", table.lead},
                           {"term", std::to_string(table.term)},
                           {"fence", std::to_string(table.fence)}});
    }
    const bool replaced = m_lead.IsNamedLead() && table.lead != m_instance;
    const bool new_lead = table.lead != m_state.keys().lead;
    const Milliseconds holds = m_lead.LongestGrant(now);
    m_state.SetKeys(table);
    m_watch.OnLead(table.lead);
    if (replaced) {
      m_link.Send(table.lead_address,
                  {m_instance, LeadReplaced{table.term, holds}});
    }
    m_lead.OnTable(now, std::move(table));
    if (m_lead.IsNamedLead()) {
      SetReader(m_peer_address);
    } else if (new_lead) {
      // The answer names the instance to read from.
      Report({});
    }
  }

  // Tells the instances that report of moves that have ended since the last
  // time.
  void AnnounceEndedMoves() {
    const MonotonicTime now = Now();
    if (!m_lead.IsLead(now) || now < m_announce_at) {
      return;
    }
    std::vector<FenceToken> ended = m_lead.EndedMoves();
    std::vector<FenceToken> fresh;
    std::set_difference(ended.begin(), ended.end(), m_announced.begin(),
                        m_announced.end(), std::back_inserter(fresh));
    m_announced = std::move(ended);
    if (fresh.empty()) {
      return;
    }
    m_announce_at = now + kAnnounceInterval;
    m_state.AddSettled(fresh);
    std::erase_if(m_reporters, [now](const auto& item) {
      return now - item.second > kReporterLifetime;
    });
    for (const auto& [endpoint, seen] : m_reporters) {
      m_link.Send(endpoint, {m_instance, LeadSettled{fresh}});
    }
  }

  void WakeLead() {
    m_wake_lead = true;
    m_lead_timer.cancel();
  }

  boost::asio::awaitable<void> RunLead() {
    while (!m_stopped) {
      m_lead_timer.expires_after(m_lead.IsNamedLead() ? kLeadTick : kIdleTick);
      if (!m_wake_lead) {
        co_await m_lead_timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
      }
      m_wake_lead = false;
      if (m_stopped) {
        break;
      }
      if (m_has_keys_end && !m_appending) {
        const bool take_over = HasKeyedService() && m_watch.IsLost() &&
                               !m_draining && CanReachLog();
        if (auto next = m_lead.NextTable(Now(), take_over)) {
          m_appending = true;
          Spawn(m_executor, Append(*std::move(next)));
        }
      }
      AnnounceEndedMoves();
      for (KeyOrder& order : m_lead.TakeOrders(Now())) {
        Spawn(m_executor, Send(std::move(order)));
      }
    }
  }

  boost::asio::awaitable<void> Append(KeyTable table) {
    const KeyedRecord record{kKeyRecord, EncodeKeyTable(table)};
    const std::uint64_t at = m_keys_end;
    const MonotonicTime began = Now();
    const Result<std::uint64_t> end = co_await m_append_log->Append(
        m_platform.key_topic(), record, at, Now() + kCallLimit);
    m_metrics.Count(end ? "keys_appended" : "keys_append_failed");
    if (end && m_keys_end == at) {
      m_keys_end = end.value();
      ApplyKeys(Now(), table);
      m_lead.OnConfirmed(began);
    } else if (end.has_error()) {
      // The key feed shows what was appended, by whomever.
      m_log.Write("keys_append_failed", {{"error", end.error().message}});
      boost::asio::steady_timer pause(m_executor, kLeadTick * 3);
      co_await pause.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    m_appending = false;
    WakeLead();
  }

  boost::asio::awaitable<void> Send(KeyOrder order) {
    const std::shared_ptr<Orders> orders = TakeOrderClient(order);
    const Milliseconds limit = order.kind == KeyOrder::Kind::kRelease
                                   ? kReleaseLimit
                                   : KeyLead::kOrderLimit;
    const KeyOrderResult result = co_await orders->Send(order, Now() + limit);
    if (m_stopped) {
      co_return;
    }
    m_order_clients[order.address].push_back(orders);
    NoteOrder(order, result);
    m_lead.OnOrderDone(Now(), order, result);
    WakeLead();
  }

  // A client carries one order at a time.
  std::shared_ptr<Orders> TakeOrderClient(const KeyOrder& order) {
    std::vector<std::shared_ptr<Orders>>& idle = m_order_clients[order.address];
    if (idle.empty()) {
      return m_platform.NewKeyOrders(order.address);
    }
    std::shared_ptr<Orders> orders = std::move(idle.back());
    idle.pop_back();
    return orders;
  }

  static std::string_view NameOf(KeyOrder::Kind kind) {
    switch (kind) {
      case KeyOrder::Kind::kGrant:
        return "grant";
      case KeyOrder::Kind::kRelease:
        return "release";
      case KeyOrder::Kind::kProbe:
        break;
    }
    return "probe";
  }

  void NoteOrder(const KeyOrder& order, const KeyOrderResult& result) {
    const std::string_view kind = NameOf(order.kind);
    m_metrics.Count(kind);
    // Renewals that succeed change nothing.
    if (order.kind == KeyOrder::Kind::kGrant &&
        result.outcome == KeyOrderOutcome::kDone) {
      return;
    }
    m_log.Write("key_order", {{"kind", kind},
                              {"target", order.target},
                              {"first", std::to_string(order.first)},
                              {"last", std::to_string(order.last)},
                              {"fence", std::to_string(order.fence)},
                              {"outcome", ToString(result.outcome)},
                              {"status", std::to_string(result.status)}});
  }

  // A target answers a release when the work on its keys has ended.
  static constexpr Milliseconds kReleaseLimit{4000};
  static constexpr const char* kKeyRecord = "table";

  boost::asio::any_io_executor m_executor;
  Platform& m_platform;
  RoutingState& m_state;
  GatewayMetrics& m_metrics;
  EventLog& m_log;
  LeadLink& m_link;
  InstanceId m_instance;
  LeadWatch m_watch;
  TargetRegistry m_registry;
  KeyLead m_lead;
  std::shared_ptr<typename Platform::Log> m_append_log;
  // Idle clients by the address of their target.
  std::map<std::string, std::vector<std::shared_ptr<Orders>>> m_order_clients;
  std::map<std::string, bool> m_lost;
  boost::asio::steady_timer m_lead_timer;
  // Shared by the feeds.
  std::shared_ptr<RelayChoice> m_relay;
  RelayPlanner m_relays;
  // Instances that report to this one as the lead, and when they last did.
  std::map<LeadLink::Endpoint, MonotonicTime> m_reporters;
  // Ended moves of the last announcement, in order.
  std::vector<FenceToken> m_announced;
  MonotonicTime m_announce_at;
  Feed m_policy_feed;
  Feed m_target_feed;
  Feed m_key_feed;
  ZoneName m_zone;
  LinkRate m_link_rate;
  std::string m_peer_address;
  RelayServer m_relay_server;
  // End of the key topic that the known table reflects.
  std::uint64_t m_keys_end = 0;
  bool m_has_keys_end = false;
  // When the key topic was last read, and when that ended an outage.
  MonotonicTime m_keys_read_at;
  MonotonicTime m_log_back_at;
  bool m_has_targets = false;
  bool m_appending = false;
  bool m_wake_lead = false;
  bool m_draining = false;
  bool m_stopped = false;
};

}  // namespace snipehall
