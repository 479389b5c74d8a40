#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/outcome/try.hpp>
#include <concepts>
#include <exception>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "coordination/forwarder_planner.h"
#include "coordination/instance_counter.h"
#include "coordination/key_leader.h"
#include "coordination/key_topic_cursor.h"
#include "coordination/leader_failure_detector.h"
#include "coordination/poison_request_detector.h"
#include "coordination/relay_planner.h"
#include "coordination/shared_rate_limiter.h"
#include "coordination/target_load_collector.h"
#include "coordination/target_registry.h"
#include "protocol/key_table_codec.h"
#include "protocol/leader_message_codec.h"
#include "protocol/request_digest.h"
#include "transport/event_log.h"
#include "transport/gateway/gateway_metrics.h"
#include "transport/gateway/gateway_services.h"
#include "transport/gateway/gateway_settings.h"
#include "transport/gateway/leader_link.h"
#include "transport/gateway/permit_requests.h"
#include "transport/gateway/relay_server.h"
#include "transport/gateway/routing_state.h"
#include "transport/spawn.h"
#include "transport/topic_follower.h"

namespace snipehall {

// What a gateway requires of the platform, the environment that it runs in. The
// platform has a log of records by topic, shared by all instances and targets;
// see RecordLog.
//
// - NewLog() returns a client of the log; each reader uses its own.
// - NewKeyOrderClient() takes the "address:port" of a target and returns a
//   client that sends orders to it, one at a time.
// - The record with policy_key() in policy_topic() is the operator's routing
//   configuration; ParsePolicy() parses its value. While there is a record for
//   whose key EvacuatedZone() returns a zone, the targets of that zone get no
//   requests.
// - target_topic() has a record per target, with the target's id as the key;
//   ParseTarget() parses one. A warm-up is counted from its last parameter.
// - key_topic() has the key table.
template <typename T>
concept GatewayPlatform = requires(T platform,
                                   const std::string& text,
                                   const std::string& id,
                                   const KeyOrder& order,
                                   MonotonicTime time) {
  requires RecordLog<typename T::Log>;
  { platform.NewLog() } -> std::same_as<std::shared_ptr<typename T::Log>>;
  {platform.NewKeyOrderClient(id)};
  {
    platform.ParsePolicy(text)
    } -> std::same_as<Result<std::shared_ptr<const RoutePolicy>>>;
  {
    platform.ParseTarget(id, text, time)
    } -> std::same_as<Result<ListedTarget>>;
  { platform.EvacuatedZone(text) } -> std::same_as<std::optional<ZoneName>>;
  { platform.policy_topic() } -> std::convertible_to<std::string>;
  { platform.policy_key() } -> std::convertible_to<std::string>;
  { platform.target_topic() } -> std::convertible_to<std::string>;
  { platform.key_topic() } -> std::convertible_to<std::string>;
};

// Keeps an instance's routing state up to date with the platform's log. Reports
// to the leader, the instance that the newest key table names. On the leader,
// also assigns keys to targets and sends them the orders about their keys.
template <GatewayPlatform Platform>
class GatewayControl {
 public:
  GatewayControl(const Executor& executor,
                 const GatewaySettings& settings,
                 Platform& platform,
                 RoutingState& state,
                 GatewayMetrics& metrics,
                 EventLog& log,
                 LeaderLink& link,
                 PoisonRequestDetector& poison_requests,
                 GatewayServices& services,
                 std::uint64_t seed)
      : m_executor(executor),
        m_platform(platform),
        m_state(state),
        m_metrics(metrics),
        m_log(log),
        m_link(link),
        m_poison_requests(poison_requests),
        m_services(services),
        m_instance(settings.instance),
        m_leader_failure_detector(seed),
        m_key_leader(settings.instance, m_incarnation, settings.peer_address),
        m_forwarder_planner(seed),
        m_append_log(platform.NewLog()),
        m_leader_timer(m_executor),
        m_relay_selection(std::make_shared<RelaySelection>()),
        m_permit_requests(m_incarnation),
        m_policy_feed(m_executor,
                      platform.policy_topic(),
                      NewFeedLog({Milliseconds(0), kReadWait}),
                      MakeFeedHandlers("configuration",
                                       m_policy_feed,
                                       &GatewayControl::OnPolicyPage)),
        m_target_feed(m_executor,
                      platform.target_topic(),
                      NewFeedLog({kTargetReadInterval, Milliseconds(0)}),
                      MakeFeedHandlers("targets",
                                       m_target_feed,
                                       &GatewayControl::OnTargetPage)),
        m_key_feed(
            m_executor,
            platform.key_topic(),
            NewFeedLog({Milliseconds(0), kReadWait}),
            MakeFeedHandlers("keys", m_key_feed, &GatewayControl::OnKeyPage)),
        m_zone(settings.zone),
        m_link_mbps(settings.link_mbps),
        m_peer_address(settings.peer_address),
        m_relay_server(executor, [this](std::string_view topic) {
          return FindCache(topic);
        }) {}

  // Binds the listener for other instances and starts all coroutines. Fails
  // when the address is malformed or cannot be bound.
  Result<void> Start() {
    BOOST_OUTCOME_TRY(m_relay_server.Start(m_peer_address));
    Spawn(m_executor, m_policy_feed.Run());
    Spawn(m_executor, m_target_feed.Run());
    Spawn(m_executor, m_key_feed.Run());
    Spawn(m_executor, RunLeader());
    return boost::outcome_v2::success();
  }

  // Whether configuration, targets and owners of keys are known, so that
  // requests can be routed. A keyed service without targets needs no owners.
  bool IsReady() const {
    if (!m_state.policy() || !m_has_targets || !m_has_keys) {
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

  // Updates the gauges about reads of the log, leadership and configuration;
  // call before metrics are read.
  void UpdateMetrics() {
    for (const Feed* feed : {&m_policy_feed, &m_target_feed, &m_key_feed}) {
      const std::chrono::duration<double> age = Now() - feed->cache().read_at();
      m_metrics.SetGauge("age_seconds " + feed->topic(), age.count());
      m_metrics.SetGauge("end " + feed->topic(),
                         static_cast<double>(feed->cache().end().offset));
    }
    m_metrics.SetGauge("lead", m_key_leader.IsLeader(Now()) ? 1 : 0);
    m_metrics.SetGauge("configuration",
                       m_state.policy()
                           ? static_cast<double>(m_state.policy()->version())
                           : 0);
  }

  // Call when a connection to a target for a request with a key could not be
  // made.
  void OnTargetUnreachable(std::string_view target) {
    m_key_leader.OnTargetUnreachable(Now(), target);
    WakeLeader();
  }

  // Sends the load of keys to the leader, or records it directly on the leader.
  // Call it at a fixed interval, also without load: an instance that gets no
  // responses tries to become the leader; see LeaderFailureDetector.
  void ReportLoad(std::vector<KeyLoadReport> reports) {
    const MonotonicTime now = Now();
    if (m_key_leader.IsNamedLeader()) {
      for (const KeyLoadReport& report : reports) {
        m_key_leader.OnLoad(now, report);
      }
      // The leader reads the log in any case, so it is the relay of its zone.
      m_relay_planner.OnReport(now, m_zone, m_peer_address, m_link_mbps);
      UpdateTargetLoads(now);
      m_instances.OnReport(now, m_instance);
      const auto cut_off_services = m_services.CutOffServices();
      m_forwarder_planner.OnReport(now, m_peer_address, m_zone,
                                   cut_off_services);
      if (!cut_off_services.empty()) {
        m_state.SetForwarders(
            ChooseForwarders(now, m_peer_address, m_zone, cut_off_services));
      }
      return;
    }
    ForgetTargetLoads();
    if (!m_has_keys || !HasKeyedService()) {
      return;
    }
    if (reports.empty()) {
      reports.emplace_back();
    }
    const std::string relay_address =
        CanRelayRecords() ? m_peer_address : std::string();
    std::vector<TargetLoadSample> target_loads = TakeTargetLoads(now);
    for (KeyLoadReport& report : reports) {
      m_link.Send(m_state.keys().leader_address,
                  {m_instance,
                   LeaderReport{m_zone, relay_address, std::move(report),
                                m_link_mbps, m_services.CutOffServices(),
                                m_draining, std::exchange(target_loads, {})}});
    }
    ReportPoisonRequests(now);
    m_leader_failure_detector.OnReportSent();
    if (m_leader_failure_detector.ShouldTakeOver()) {
      WakeLeader();
    }
  }

  // Call when the services have changed of which this instance reaches no
  // target; see TargetReachability. The leader is told at once, and names
  // instances that serve requests for them.
  void OnReachabilityChanged() {
    const auto cut_off_services = m_services.CutOffServices();
    m_leader_failure_detector.set_cut_off(
        !CutOffKeyedServices(cut_off_services).empty());
    Forwarders forwarders;
    if (!HasKeyedService()) {
      // There is no leader.
      for (const ServiceName& service : cut_off_services) {
        forwarders.emplace(service, std::vector<std::string>());
      }
    }
    m_state.SetForwarders(std::move(forwarders));
    ReportLoad({});
  }

  // Calls `on_forwarded` with the connections on which other instances forward
  // requests, which have the header `name`.
  void set_on_forwarded(
      std::string_view name,
      std::function<void(std::shared_ptr<ByteStream>)> on_forwarded) {
    m_relay_server.set_on_forwarded(name, std::move(on_forwarded));
  }

  // Number of instances, this one included; nothing while it is not known.
  std::optional<int> InstanceCount() const { return m_instances.Count(Now()); }

  // Asks the leader for a permit to send a request to `target`, which limits
  // its request rate to `limit` requests per second. `on_response` may be
  // called before this returns, later, or never when the leader does not
  // answer.
  void RequestPermit(std::string_view target,
                     double limit,
                     PermitRequests::OnResponse on_response) {
    if (m_key_leader.IsNamedLeader()) {
      const auto wait = TakePermit(target, limit);
      on_response({0, !wait.has_value(), wait.value_or(Milliseconds(0))});
      return;
    }
    const std::uint64_t number =
        m_permit_requests.Add(Now(), std::move(on_response));
    m_link.Send(
        m_state.keys().leader_address,
        {m_instance, LeaderPermitRequest{number, TargetId(target), limit}});
  }

  // Call when a target has crashed at work on a request; `blocks` tells whether
  // the request is blocked by that; see PoisonRequestDetector. Tells the leader
  // or, on the leader, the other instances.
  void ReportTargetLost(const PoisonRequestDetector::Loss& loss, bool blocks) {
    if (m_key_leader.IsNamedLeader()) {
      AnnounceLoss(loss, blocks);
      return;
    }
    SendLosses(m_state.keys().leader_address, {loss});
    if (blocks) {
      m_metrics.IncrementEvent("request_blocked");
      if (!HasKeyedService()) {
        // There is no leader that logs it.
        LogBlockedRequest(loss.digest);
      }
    }
  }

  // Call when a target has stated in a response that it is leaving. It gets no
  // new requests from then on, and the leader moves its keys.
  void OnTargetLeaving(std::string_view target, std::int64_t start_time_ms) {
    m_registry.OnLeaving(target, start_time_ms);
    if (!PublishTargets(Now())) {
      return;
    }
    m_metrics.IncrementEvent("target_leaving");
    if (!m_key_leader.IsNamedLeader()) {
      m_link.Send(
          m_state.keys().leader_address,
          {m_instance, LeaderTargetLeaving{TargetId(target), start_time_ms}});
    }
  }

  // Call when a target has responded to a suspected request. Tells the leader
  // or, on the leader, the other instances.
  void ReportHarmless(RequestDigest digest) {
    if (!m_key_leader.IsNamedLeader()) {
      m_link.Send(m_state.keys().leader_address,
                  {m_instance, LeaderRequestHarmless{digest}});
      return;
    }
    for (const auto& [endpoint, seen] : m_reporters) {
      m_link.Send(endpoint, {m_instance, LeaderRequestHarmless{digest}});
    }
  }

  // Handles a datagram of another instance. An exception ends the work on this
  // datagram only.
  void OnMessage(const LeaderLink::Endpoint& sender,
                 const LeaderMessage& message) {
    RunGuarded(message.from, [&] { HandleMessage(sender, message); });
  }

  // Sets a callback for orders that failed without a response of their target.
  void set_on_order_failed(std::function<void()> on_order_failed) {
    m_on_order_failed = std::move(on_order_failed);
  }

  // Call when the instance begins to shut down. Makes it decline reports, so
  // that another one becomes the leader, and no longer offer itself as the
  // leader or as a relay.
  void BeginDrain() { m_draining = true; }

  // Stops all loops and closes the connections to the log, the relay and other
  // instances, and idle ones to targets. Orders in progress are not cancelled:
  // destroy this object only after all its coroutines have ended or the event
  // loop has stopped.
  void Stop() {
    m_stopped = true;
    m_policy_feed.Close();
    m_target_feed.Close();
    m_key_feed.Close();
    m_relay_server.Close();
    m_append_log->Close();
    m_leader_timer.cancel();
    for (const auto& [address, idle] : m_order_clients) {
      for (const std::shared_ptr<Orders>& orders : idle) {
        orders->Close();
      }
    }
  }

 private:
  using Feed = TopicFollower<typename Platform::Log>;
  using Forwarders =
      std::map<ServiceName, std::vector<std::string>, std::less<>>;
  using Orders = typename decltype(std::declval<Platform>().NewKeyOrderClient(
      std::declval<std::string>()))::element_type;

  // Interval between reads of the targets' reports. The targets together report
  // several times a second, so a read that waits for records would return for
  // each report. A draining target must be known within two seconds.
  static constexpr Milliseconds kTargetReadInterval{800};
  // Long-poll wait of reads of rarely changed topics. After an outage the log
  // may never answer a pending read, and a change must be known within two
  // seconds. A leader's reads also confirm it as the leader, so they must end
  // well within KeyLeader::kLeaderLeaseDuration.
  static constexpr Milliseconds kReadWait{800};
  // Interval at which RunLeader() checks for due work on an instance that is
  // not the leader; events wake it earlier.
  static constexpr Milliseconds kNonLeaderCheckInterval{20000};
  // Interval at which RunLeader() checks for due work on the leader.
  static constexpr Milliseconds kLeaderCheckInterval{100};
  // Time limit for an append to the log.
  static constexpr Milliseconds kAppendTimeout{1000};
  // Minimum interval between announcements of completed moves to the instances
  // that report to the leader.
  static constexpr Milliseconds kAnnounceInterval{50};
  // Interval between reports of the blocked requests, and of losses of the last
  // kLossReportTime, to the leader. A leader is replaced in less than that.
  static constexpr Milliseconds kBlockedReportInterval{2000};
  static constexpr Milliseconds kLossReportTime{10000};
  // Instances that have not reported for this long, three report intervals, get
  // no more announcements of completed moves.
  static constexpr Milliseconds kReporterTimeout{1200};
  // Time since the last read of the key table up to which the log counts as
  // reachable. Longer than the long-poll wait and timeout of a read, be it
  // direct or through a relay.
  static constexpr Milliseconds kMaxReachableAge{2000};
  // Time since this instance's last read of the log up to which other instances
  // accept records relayed by it.
  static constexpr Milliseconds kMaxRelayedAge =
      RelayedLog<typename Platform::Log>::kMaxRelayAge;
  // For this long after an outage of the log, this instance does not try to
  // become the leader: the current leader needs this time to read the log again
  // and answer the next report.
  static constexpr Milliseconds kLeaderConfirmTime{1500};

  // Returns a random number other than zero.
  static Incarnation DrawIncarnation() {
    std::random_device device;
    return std::uniform_int_distribution<Incarnation>(1)(device);
  }

  static MonotonicTime Now() { return std::chrono::steady_clock::now(); }

  // Runs `function`, the handling of one input from `source`. An unexpected
  // exception is logged and goes no further, so that the process continues with
  // the next input.
  template <typename Function>
  void RunGuarded(std::string_view source, Function function) {
    try {
      function();
    } catch (const std::exception& error) {
      m_metrics.IncrementEvent("exception");
      m_log.Write("exception", {{"source", source}, {"error", error.what()}});
    }
  }

  void HandleMessage(const LeaderLink::Endpoint& sender,
                     const LeaderMessage& message) {
    const MonotonicTime now = Now();
    if (const auto* report = std::get_if<LeaderReport>(&message.content)) {
      if (!m_has_keys || (m_appending && !m_key_leader.IsNamedLeader())) {
        // This instance does not know yet whether it is the leader. It may have
        // been before its process started, and be taking over again.
        return;
      }
      if (m_key_leader.IsNamedLeader()) {
        RecordForwarder(now, sender, *report);
      }
      // Another instance shall replace a leader that cannot read the log or
      // shuts down, and the sender one whose orders do not arrive or that has a
      // much slower network link.
      if (!m_key_leader.IsLeader(now) || m_draining ||
          IsMoreCutOff(report->cut_off_services) ||
          RelayPlanner::IsMuchFaster(report->link_mbps, m_link_mbps)) {
        m_link.Send(sender, {m_instance, LeaderNotServing()});
        return;
      }
      if (!report->load.service.empty()) {
        m_key_leader.OnLoad(now, report->load);
      }
      const std::string relay = m_relay_planner.OnReport(
          now, report->zone, report->relay_address, report->link_mbps);
      m_instances.OnReport(now, message.from);
      if (m_services.learns_capacity()) {
        m_target_load_collector.OnReport(now, report->target_loads);
      }
      m_link.Send(
          sender,
          {m_instance,
           LeaderServing{relay, m_relay_planner.fastest_link(),
                         m_instances.Count(now).value_or(0),
                         ChooseForwarders(now, ToAddress(sender), report->zone,
                                          report->cut_off_services)}});
      if (m_services.learns_capacity() && !m_encoded_target_loads.empty()) {
        m_link.SendEncoded(sender, m_encoded_target_loads);
      }
      m_reporters.insert_or_assign(sender, now);
      std::vector<FencingToken> completed = m_key_leader.CompletedMoves();
      if (!completed.empty()) {
        m_link.Send(sender,
                    {m_instance, LeaderMovesCompleted{std::move(completed)}});
      }
      std::vector<RequestDigest> blocked =
          m_poison_requests.BlockedRequests(now);
      if (!blocked.empty()) {
        m_link.Send(sender,
                    {m_instance, LeaderRequestsBlocked{std::move(blocked)}});
      }
    } else if (const auto* serving =
                   std::get_if<LeaderServing>(&message.content)) {
      m_leader_failure_detector.OnServing(
          message.from,
          RelayPlanner::IsMuchFaster(serving->fastest_link_mbps, m_link_mbps));
      SetRelay(serving->relay);
      if (!serving->forwarders.empty()) {
        m_state.SetForwarders(serving->forwarders);
      }
      if (serving->instances > 0) {
        m_instances.OnLeaderCount(serving->instances);
      }
    } else if (const auto* loads =
                   std::get_if<LeaderTargetLoads>(&message.content)) {
      if (message.from == m_state.keys().leader &&
          m_services.learns_capacity()) {
        ApplyTargetLoads(now, *loads);
      }
    } else if (const auto* moves_completed =
                   std::get_if<LeaderMovesCompleted>(&message.content)) {
      m_state.AddCompletedMoves(moves_completed->fencing_tokens);
    } else if (const auto* permit =
                   std::get_if<LeaderPermitRequest>(&message.content)) {
      // An instance that is no longer the leader does not answer, so that the
      // sender uses its own share of the limit.
      if (m_key_leader.IsNamedLeader()) {
        const auto wait = TakePermit(permit->target, permit->limit);
        m_link.Send(sender, {m_instance, LeaderPermitResponse{
                                             permit->number, !wait.has_value(),
                                             wait.value_or(Milliseconds(0))}});
      }
    } else if (const auto* permitted =
                   std::get_if<LeaderPermitResponse>(&message.content)) {
      m_permit_requests.Complete(*permitted);
    } else if (std::holds_alternative<LeaderNotServing>(message.content)) {
      m_leader_failure_detector.OnNotServing(message.from);
    } else if (const auto* lost =
                   std::get_if<LeaderTargetsLost>(&message.content)) {
      OnTargetsLost(*lost);
    } else if (const auto* harmless =
                   std::get_if<LeaderRequestHarmless>(&message.content)) {
      if (m_poison_requests.OnHarmless(now, harmless->digest) &&
          m_key_leader.IsNamedLeader()) {
        ReportHarmless(harmless->digest);
      }
    } else if (const auto* blocked =
                   std::get_if<LeaderRequestsBlocked>(&message.content)) {
      OnRequestsBlocked(sender, *blocked);
    } else if (const auto* leaving =
                   std::get_if<LeaderTargetLeaving>(&message.content)) {
      if (m_key_leader.IsNamedLeader()) {
        OnTargetLeaving(leaving->target, leaving->start_time_ms);
      }
    } else if (const auto* replaced =
                   std::get_if<LeaderReplaced>(&message.content)) {
      OnLeaderReplaced(now, message.from, *replaced);
    } else if (const auto* outdated =
                   std::get_if<LeaderTableOutdated>(&message.content)) {
      m_log.Write("keys_outdated", {{"known_by", message.from}});
      m_key_leader.OnTableOutdated(outdated->term);
    }
  }

  static std::string ToAddress(const LeaderLink::Endpoint& endpoint) {
    return endpoint.address().to_string() + ":" +
           std::to_string(endpoint.port());
  }

  // The report of a former leader about its grants.
  void OnLeaderReplaced(MonotonicTime now,
                        const InstanceId& from,
                        const LeaderReplaced& replaced) {
    const Milliseconds wait_before = m_key_leader.FormerGrantTime(now);
    m_key_leader.OnLeaderReplaced(now, replaced);
    m_log.Write(
        "leader_replaced",
        {{"former_lead", from},
         {"term", std::to_string(replaced.term)},
         {"grants_ms", std::to_string(replaced.remaining_grant_time.count())},
         {"wait_before_ms", std::to_string(wait_before.count())},
         {"wait_ms",
          std::to_string(m_key_leader.FormerGrantTime(now).count())}});
  }

  // Other instances listen at the address from which they send messages.
  void RecordForwarder(MonotonicTime now,
                       const LeaderLink::Endpoint& sender,
                       const LeaderReport& report) {
    if (report.shutting_down) {
      m_forwarder_planner.Remove(ToAddress(sender));
    } else {
      m_forwarder_planner.OnReport(now, ToAddress(sender), report.zone,
                                   report.cut_off_services);
    }
  }

  // The instances that serve requests for `services` in the place of the one at
  // `address` in `zone`.
  Forwarders ChooseForwarders(
      MonotonicTime now,
      std::string_view address,
      std::string_view zone,
      const std::set<ServiceName, std::less<>>& services) {
    Forwarders forwarders;
    for (const ServiceName& service : services) {
      forwarders.emplace(
          service, m_forwarder_planner.Choose(now, address, zone, service));
    }
    return forwarders;
  }

  // What this instance has learned of targets since the last report; nothing
  // unless the configuration asks for it.
  std::vector<TargetLoadSample> TakeTargetLoads(MonotonicTime now) {
    std::vector<TargetLoadSample> samples =
        m_services.target_loads().TakeReport(now);
    if (!m_services.learns_capacity()) {
      samples.clear();
    }
    return samples;
  }

  // Adds this instance's own report, as the leader, and makes the summaries for
  // the next responses to reports.
  void UpdateTargetLoads(MonotonicTime now) {
    const std::vector<TargetLoadSample> samples = TakeTargetLoads(now);
    if (!m_services.learns_capacity()) {
      ForgetTargetLoads();
      return;
    }
    m_target_load_collector.OnReport(now, samples);
    m_target_loads = {m_target_load_collector.NextSummary(
                          now, m_state.targets(), KeyedServices()),
                      m_key_leader.PlanKeyAdmissions(now)};
    ApplyTargetLoads(now, m_target_loads);
    m_encoded_target_loads = EncodeLeaderMessage({m_instance, m_target_loads});
    m_knows_target_loads = true;
    UpdateCapacityGauges();
  }

  // Drops what this instance knew as the leader: it would be out of date if the
  // instance became the leader again.
  void ForgetTargetLoads() {
    if (!std::exchange(m_knows_target_loads, false)) {
      return;
    }
    m_target_loads = {};
    m_encoded_target_loads.clear();
    m_target_load_collector = {};
    UpdateCapacityGauges();
  }

  // Gauges of the leader; zero on other instances.
  void UpdateCapacityGauges() {
    std::size_t busy_keys = 0;
    for (const auto& [service, fractions] : m_target_loads.key_admissions) {
      busy_keys += fractions.size();
    }
    m_metrics.SetGauge("busy_keys", static_cast<double>(busy_keys));
    const auto bounds =
        m_target_load_collector.RelativeTimeBounds(m_state.targets());
    for (const auto& [service, policy] : m_state.policy()->services()) {
      const auto found = bounds.find(service);
      const bool known = found != bounds.end();
      m_metrics.SetGauge("relative_time_min " + service,
                         known ? found->second.first : 0);
      m_metrics.SetGauge("relative_time_max " + service,
                         known ? found->second.second : 0);
    }
  }

  void ApplyTargetLoads(MonotonicTime now, const LeaderTargetLoads& loads) {
    m_services.target_loads().OnSummary(now, loads.targets);
    m_state.SetKeyAdmissions(now, loads.key_admissions);
  }

  // The services whose requests carry keys.
  std::set<ServiceName, std::less<>> KeyedServices() const {
    std::set<ServiceName, std::less<>> keyed;
    for (const auto& [name, policy] : m_state.policy()->services()) {
      if (policy.keyed) {
        keyed.insert(name);
      }
    }
    return keyed;
  }

  // The keyed ones of `services`.
  std::set<ServiceName, std::less<>> CutOffKeyedServices(
      const std::set<ServiceName, std::less<>>& services) const {
    std::set<ServiceName, std::less<>> result;
    for (const ServiceName& name : services) {
      const ServicePolicy* policy =
          m_state.policy() ? m_state.policy()->FindService(name) : nullptr;
      if (policy != nullptr && policy->keyed) {
        result.insert(name);
      }
    }
    return result;
  }

  // Whether this instance reaches no target of more keyed services than another
  // one, which reaches none of `services`.
  bool IsMoreCutOff(const std::set<ServiceName, std::less<>>& services) const {
    return CutOffKeyedServices(m_services.CutOffServices()).size() >
           CutOffKeyedServices(services).size();
  }

  // Sends losses to the leader or, from the leader, to another instance.
  template <typename Receiver>
  void SendLosses(const Receiver& receiver,
                  const std::vector<PoisonRequestDetector::Loss>& losses) {
    const MonotonicTime now = Now();
    LeaderTargetsLost message;
    message.losses.reserve(losses.size());
    for (const PoisonRequestDetector::Loss& loss : losses) {
      message.losses.push_back(
          {loss.digest,
           std::chrono::duration_cast<Milliseconds>(now - loss.sent_at),
           std::chrono::duration_cast<Milliseconds>(now - loss.lost_at),
           loss.number});
    }
    m_link.Send(receiver, {m_instance, std::move(message)});
  }

  // Losses that another instance has seen, or that the leader passes on.
  void OnTargetsLost(const LeaderTargetsLost& lost) {
    const MonotonicTime now = Now();
    for (const LeaderTargetsLost::Loss& received : lost.losses) {
      const PoisonRequestDetector::Loss loss{
          received.digest, now - received.sent_ago, now - received.lost_ago,
          received.number};
      const bool known = m_poison_requests.IsSuspected(loss.digest);
      const bool blocks = m_poison_requests.OnTargetLost(now, loss);
      if (m_key_leader.IsNamedLeader()) {
        // An instance that knows of the suspicion reports a response.
        if (blocks || (!known && m_poison_requests.IsSuspected(loss.digest))) {
          AnnounceLoss(loss, blocks);
        }
      } else if (blocks) {
        m_metrics.IncrementEvent("request_blocked");
      }
    }
  }

  void OnRequestsBlocked(const LeaderLink::Endpoint& sender,
                         const LeaderRequestsBlocked& blocked) {
    const MonotonicTime now = Now();
    for (const RequestDigest digest : blocked.digests) {
      const bool known = m_poison_requests.IsBlocked(now, digest);
      const bool accepted = m_key_leader.IsNamedLeader()
                                ? m_poison_requests.OnBlockReported(now, digest)
                                : m_poison_requests.OnBlocked(now, digest);
      if (!accepted) {
        m_link.Send(sender, {m_instance, LeaderRequestHarmless{digest}});
      } else if (!known && m_poison_requests.IsBlocked(now, digest)) {
        m_metrics.IncrementEvent("request_blocked");
      }
    }
  }

  // Tells the leader of blocked requests and of recent losses at intervals:
  // another instance may have become the leader, or its process has restarted.
  void ReportPoisonRequests(MonotonicTime now) {
    if (now < m_report_blocked_at) {
      return;
    }
    m_report_blocked_at = now + kBlockedReportInterval;
    std::vector<RequestDigest> blocked = m_poison_requests.BlockedRequests(now);
    if (!blocked.empty()) {
      m_link.Send(m_state.keys().leader_address,
                  {m_instance, LeaderRequestsBlocked{std::move(blocked)}});
    }
    const std::vector<PoisonRequestDetector::Loss> losses =
        m_poison_requests.RecentLosses(now, now - kLossReportTime);
    if (!losses.empty()) {
      SendLosses(m_state.keys().leader_address, losses);
    }
  }

  void LogBlockedRequest(RequestDigest digest) {
    m_log.Write("request_blocked", {{"digest", ToString(digest)}});
  }

  // Tells the instances that report to this leader of a loss, and of the
  // request if it is blocked from now on.
  void AnnounceLoss(const PoisonRequestDetector::Loss& loss, bool blocks) {
    if (blocks) {
      m_metrics.IncrementEvent("request_blocked");
      LogBlockedRequest(loss.digest);
    }
    for (const auto& [endpoint, seen] : m_reporters) {
      if (blocks) {
        m_link.Send(endpoint,
                    {m_instance, LeaderRequestsBlocked{{loss.digest}}});
      } else {
        SendLosses(endpoint, {loss});
      }
    }
  }

  // Takes a permit as the leader; see SharedRateLimiter::TryTake().
  std::optional<Milliseconds> TakePermit(std::string_view target,
                                         double limit) {
    const MonotonicTime now = Now();
    m_key_leader.OnRateLimit(now, target, limit);
    m_rate_limiter.SetTerm(m_key_leader.table().term);
    return m_rate_limiter.TryTake(now, target, limit);
  }

  bool HasTarget(std::string_view service) const {
    for (const auto& [id, target] : m_state.targets()) {
      if (target.service == service) {
        return true;
      }
    }
    return false;
  }

  // The handlers of `feed`, which reads `topic`, a name for event logs. They
  // pass its pages to `on_page`, with true for a snapshot of the whole topic.
  typename Feed::Handlers MakeFeedHandlers(
      const char* topic,
      const Feed& feed,
      void (GatewayControl::*on_page)(const RecordPage&, bool)) {
    return {[this, topic, on_page](const RecordPage& page, bool whole) {
              RecordDependency(topic, std::nullopt);
              RecordEra(topic, page);
              RunGuarded(topic, [&] { (this->*on_page)(page, whole); });
              if (whole || !page.records.empty()) {
                m_relay_server.Notify();
              }
            },
            [this, topic, &feed](const Error& error) {
              LogFailedRead(topic, feed, error);
              RecordDependency(topic, error);
            }};
  }

  std::shared_ptr<RelayedLog<typename Platform::Log>> NewFeedLog(
      typename RelayedLog<typename Platform::Log>::ReadSchedule pace) {
    return std::make_shared<RelayedLog<typename Platform::Log>>(
        m_executor, m_platform.NewLog(), m_relay_selection, pace);
  }

  // The cache of a topic for RelayServer, or null.
  const TopicCache* FindCache(std::string_view topic) const {
    for (const Feed* feed : {&m_policy_feed, &m_target_feed, &m_key_feed}) {
      if (feed->topic() == topic) {
        return &feed->cache();
      }
    }
    return nullptr;
  }

  // Whether other instances may read the log's records through this one: its
  // own reads are recent, and it is not shutting down.
  bool CanRelayRecords() const {
    const MonotonicTime now = Now();
    const auto feeds = {&m_policy_feed, &m_target_feed, &m_key_feed};
    return !m_draining &&
           std::all_of(feeds.begin(), feeds.end(), [now](const Feed* feed) {
             return now - feed->cache().read_at() < kMaxRelayedAge;
           });
  }

  // Makes the feeds read through the instance at `relay`, or directly from the
  // log when that is this instance or this instance is the leader. An empty
  // `relay` changes nothing. A new relay is tried at once, also when the
  // previous one failed shortly before.
  void SetRelay(const std::string& relay) {
    if (relay.empty()) {
      return;
    }
    const bool direct = relay == m_peer_address || m_key_leader.IsNamedLeader();
    const std::string address = direct ? std::string() : relay;
    if (address != m_relay_selection->address) {
      m_log.Write("reader", {{"address", address}});
      m_relay_selection->address = address;
      m_relay_selection->direct_until = MonotonicTime();
    }
  }

  // Milliseconds from `begin` to now, for event logs.
  static std::string ElapsedMs(MonotonicTime begin) {
    return std::to_string(
        std::chrono::duration_cast<Milliseconds>(Now() - begin).count());
  }

  void LogFailedRead(const char* topic, const Feed& feed, const Error& error) {
    m_log.Write("log_read_failed",
                {{"topic", topic},
                 {"from", std::to_string(feed.position().offset)},
                 {"source", feed.source()},
                 {"elapsed_ms", ElapsedMs(feed.read_began_at())},
                 {"error", error.message}});
  }

  // Logs when reads of a topic begin to fail, and when they succeed again.
  void RecordDependency(const std::string& topic, std::optional<Error> error) {
    bool& lost = m_lost_topics[topic];
    if (error) {
      m_metrics.IncrementEvent("log_read_failed");
    }
    if (lost != error.has_value()) {
      lost = error.has_value();
      m_log.Write(lost ? "dependency_lost" : "dependency_regained",
                  {{"topic", topic},
                   {"error", error ? error->message : std::string()}});
    }
  }

  // Logs when a topic was restored from an older copy.
  void RecordEra(const std::string& topic, const RecordPage& page) {
    const auto [known, first] = m_eras.try_emplace(topic, page.era);
    if (!first && known->second != page.era) {
      m_log.Write("log_restored",
                  {{"topic", topic},
                   {"era", std::to_string(page.era)},
                   {"before", std::to_string(known->second)},
                   {"end", std::to_string(page.end_offset)},
                   {"term", std::to_string(m_state.keys().term)},
                   {"fence", std::to_string(m_state.keys().fencing_token)}});
      known->second = page.era;
    }
    m_metrics.SetGauge("log_era " + topic, static_cast<double>(page.era));
  }

  void OnPolicyPage(const RecordPage& page, bool whole) {
    UpdateEvacuatedZones(page, whole);
    // Only the newest valid version is of use.
    for (auto record = page.records.rbegin(); record != page.records.rend();
         ++record) {
      if (record->key == m_platform.policy_key() && !record->value.empty() &&
          ApplyPolicy(page, record->value)) {
        return;
      }
    }
  }

  // Applies the records of a page that evacuate a zone or take it back. A
  // snapshot of the whole topic has all zones that are evacuated.
  void UpdateEvacuatedZones(const RecordPage& page, bool whole) {
    std::set<ZoneName, std::less<>> zones;
    if (!whole) {
      zones = m_evacuated_zones;
    }
    for (const KeyedRecord& record : page.records) {
      const std::optional<ZoneName> zone = m_platform.EvacuatedZone(record.key);
      if (zone && record.value.empty()) {
        zones.erase(*zone);
      } else if (zone) {
        zones.insert(*zone);
      }
    }
    if (zones == m_evacuated_zones) {
      return;
    }
    for (const ZoneName& zone : zones) {
      if (!m_evacuated_zones.contains(zone)) {
        m_log.Write("zone_evacuated", {{"zone", zone}});
      }
    }
    for (const ZoneName& zone : m_evacuated_zones) {
      if (!zones.contains(zone)) {
        m_log.Write("zone_taken_back", {{"zone", zone}});
      }
    }
    m_evacuated_zones = std::move(zones);
    m_metrics.SetGauge("evacuated_zones",
                       static_cast<double>(m_evacuated_zones.size()));
    SetTargets(Now());
  }

  // Passes on the listed targets. Those of evacuated zones count as draining.
  void SetTargets(MonotonicTime now) {
    TargetList targets = m_registry.targets();
    for (auto& [id, target] : targets) {
      target.evacuated = m_evacuated_zones.contains(target.zone);
      target.draining = target.draining || target.evacuated;
    }
    m_metrics.SetGauge("targets", static_cast<double>(targets.size()));
    LogTargets(m_state.targets(), targets);
    m_key_leader.OnTargets(now, targets);
    m_state.SetTargets(std::move(targets));
    WakeLeader();
  }

  // Puts the configuration `text` of `page` in force unless it is older than
  // the present one. Returns false if it is invalid.
  bool ApplyPolicy(const RecordPage& page, const std::string& text) {
    const MonotonicTime parse_began_at = Now();
    const auto policy = m_platform.ParsePolicy(text);
    if (!policy) {
      m_log.Write("configuration_refused", {{"error", policy.error().message}});
      return false;
    }
    const std::uint64_t version = policy.value()->version();
    const std::uint64_t known =
        m_state.policy() ? m_state.policy()->version() : 0;
    if (m_state.policy() && version <= known) {
      return true;
    }
    m_log.Write("configuration",
                {{"version", std::to_string(version)},
                 {"before", std::to_string(known)},
                 {"bytes", std::to_string(text.size())},
                 {"page_bytes", std::to_string(page.size_bytes)},
                 {"page_records", std::to_string(page.records.size())},
                 {"source", m_policy_feed.source()},
                 {"read_ms", ElapsedMs(m_policy_feed.read_began_at())},
                 {"parse_ms", ElapsedMs(parse_began_at)}});
    m_state.SetPolicy(policy.value());
    std::map<ServiceName, double, std::less<>> cold_rates;
    for (const auto& [name, service] : policy.value()->services()) {
      if (service.keyed) {
        cold_rates.emplace(name, service.cold_rate);
      }
    }
    m_key_leader.SetKeyedServices(std::move(cold_rates));
    return true;
  }

  void OnTargetPage(const RecordPage& page, bool whole) {
    const MonotonicTime now = Now();
    const bool restored = m_has_targets && page.era != m_target_era;
    m_target_era = page.era;
    TargetRegistry::Changes changes;
    std::set<TargetId, std::less<>> unusable;
    for (const KeyedRecord& record : page.records) {
      unusable.erase(record.key);
      if (record.value.empty()) {
        changes.emplace_back(record.key, std::nullopt);
        continue;
      }
      auto parsed = m_platform.ParseTarget(record.key, record.value, now);
      if (parsed) {
        changes.emplace_back(record.key, std::move(parsed).value());
        continue;
      }
      m_metrics.IncrementEvent("unreadable_target");
      LogRefusedEntry(record.key, parsed.error().message);
      unusable.insert(record.key);
    }
    AddKnownEntries(unusable, changes);
    const std::vector<TargetRegistry::RefusedEntry> refused =
        restored ? m_registry.OnRestoredList(now, changes)
                 : m_registry.OnRead(now, changes, whole);
    for (const TargetRegistry::RefusedEntry& entry : refused) {
      m_metrics.IncrementEvent("conflicting_target");
      LogRefusedEntry(entry.id, entry.reason);
    }
    for (const TargetId& id : unusable) {
      m_registry.OnUnusableEntry(now, id);
    }
    m_registry.Expire(now);
    m_has_targets = true;
    PublishTargets(now);
  }

  // Adds the known entries of the targets in `ids` that have no change.
  void AddKnownEntries(const std::set<TargetId, std::less<>>& ids,
                       TargetRegistry::Changes& changes) const {
    std::set<TargetId, std::less<>> missing = ids;
    for (const auto& [id, entry] : changes) {
      missing.erase(id);
    }
    for (const TargetId& id : missing) {
      const auto known = m_registry.targets().find(id);
      if (known != m_registry.targets().end()) {
        changes.emplace_back(id, known->second);
      }
    }
  }

  void LogRefusedEntry(std::string_view id, std::string_view reason) {
    m_log.Write("target_entry_refused", {{"id", id}, {"reason", reason}});
  }

  // Passes the targets on if they have changed. Returns whether they had.
  bool PublishTargets(MonotonicTime now) {
    if (!m_registry.TakeChanged()) {
      return false;
    }
    SetTargets(now);
    return true;
  }

  // Logs targets that appeared, changed state or disappeared.
  void LogTargets(const TargetList& before, const TargetList& after) {
    for (const auto& [id, target] : after) {
      const auto known = before.find(id);
      if (known == before.end() || known->second.draining != target.draining ||
          known->second.start_time_ms != target.start_time_ms) {
        m_log.Write("target",
                    {{"id", id},
                     {"service", target.service},
                     {"state", target.evacuated  ? "evacuated"
                               : target.draining ? "leaving"
                                                 : "ready"},
                     {"report", std::to_string(target.report_sequence)}});
      }
    }
    for (const auto& [id, target] : before) {
      if (!after.contains(id)) {
        m_log.Write("target",
                    {{"id", id},
                     {"service", target.service},
                     {"state", "gone"},
                     {"report", std::to_string(target.report_sequence)}});
      }
    }
  }

  void OnKeyPage(const RecordPage& page, bool /*whole*/) {
    const MonotonicTime now = Now();
    const bool was_unreachable =
        page.received_at > m_key_cursor.read_at() + kMaxReachableAge;
    const KeyTopicCursor::PageResult result = m_key_cursor.OnPage(page);
    if (m_has_keys && (was_unreachable || result.new_era)) {
      m_log_recovered_at = now;
    }
    if (result.new_era) {
      m_key_leader.OnLogEra(now, page.era, result.followed_previous_era);
    }
    if (result.has_news) {
      for (const KeyedRecord& record : page.records) {
        auto table = DecodeKeyTable(record.value);
        if (!table) {
          m_log.Write("keys_unreadable", {{"error", table.error().message}});
          continue;
        }
        ApplyKeys(now, std::move(table).value());
      }
      m_has_keys = true;
    }
    if (result.is_newest) {
      m_key_leader.OnConfirmed(page.sent_at);
    }
    WakeLeader();
  }

  bool HasKeyedService() const {
    if (!m_state.policy()) {
      return false;
    }
    const auto& services = m_state.policy()->services();
    return std::any_of(services.begin(), services.end(),
                       [](const auto& item) { return item.second.keyed; });
  }

  // Whether this instance may try to become the leader, for which it needs the
  // log. False for kLeaderConfirmTime after an outage of the log.
  bool CanTakeOverLeadership() const {
    const MonotonicTime now = Now();
    return now - m_key_feed.cache().read_at() < kMaxReachableAge &&
           now >= m_log_recovered_at + kLeaderConfirmTime;
  }

  // Adopts a key table that was read from the log or appended to it.
  void ApplyKeys(MonotonicTime now, KeyTable read_table) {
    const bool was_named = m_key_leader.IsNamedLeader();
    const std::uint64_t former_term = m_key_leader.table().term;
    const LogEra former_era = m_key_leader.table().era;
    const Milliseconds longest_grant = m_key_leader.RemainingGrantTime(now);
    m_key_leader.OnTable(now, std::move(read_table));
    const KeyTable& table = m_key_leader.table();
    const bool new_leader =
        table.leader != m_state.keys().leader ||
        table.leader_incarnation != m_state.keys().leader_incarnation;
    if (new_leader || table.term != former_term || table.era != former_era) {
      m_log.Write(
          "lead",
          {{"lead", table.leader},
           {"incarnation", std::to_string(table.leader_incarnation)},
           {"term", std::to_string(table.term)},
           {"fence", std::to_string(table.fencing_token)},
           {"era", std::to_string(table.era)},
           {"owners", table.owners_unknown ? "unknown" : "known"},
           {"wait_ms",
            std::to_string(m_key_leader.FormerGrantTime(now).count())}});
    }
    if (m_key_leader.KnowsNewerAssignments()) {
      m_link.Send(table.leader_address,
                  {m_instance, LeaderTableOutdated{table.term}});
    }
    m_state.SetKeys(table);
    m_leader_failure_detector.OnLeader(table.leader);
    if (was_named && !m_key_leader.IsNamedLeader() && table.era == former_era) {
      m_link.Send(table.leader_address,
                  {m_instance,
                   LeaderReplaced{table.term, longest_grant, m_incarnation}});
    }
    if (m_key_leader.IsNamedLeader()) {
      SetRelay(m_peer_address);
    } else if (new_leader) {
      // The leader's response to the report names the relay to read through.
      ReportLoad({});
    }
  }

  // Tells reporting instances of moves that completed since the last
  // announcement, at most every kAnnounceInterval.
  void AnnounceCompletedMoves() {
    const MonotonicTime now = Now();
    if (!m_key_leader.IsLeader(now) || now < m_announce_at) {
      return;
    }
    std::vector<FencingToken> completed = m_key_leader.CompletedMoves();
    std::vector<FencingToken> newly_completed;
    std::set_difference(completed.begin(), completed.end(),
                        m_announced_moves.begin(), m_announced_moves.end(),
                        std::back_inserter(newly_completed));
    m_announced_moves = std::move(completed);
    if (newly_completed.empty()) {
      return;
    }
    m_announce_at = now + kAnnounceInterval;
    m_state.AddCompletedMoves(newly_completed);
    std::erase_if(m_reporters, [now](const auto& item) {
      return now - item.second > kReporterTimeout;
    });
    for (const auto& [endpoint, seen] : m_reporters) {
      m_link.Send(endpoint,
                  {m_instance, LeaderMovesCompleted{newly_completed}});
    }
  }

  // Makes RunLeader() check for due work at once.
  void WakeLeader() {
    m_leader_wake_pending = true;
    m_leader_timer.cancel();
  }

  // Appends key tables and sends orders that are due.
  boost::asio::awaitable<void> RunLeader() {
    while (!m_stopped) {
      m_leader_timer.expires_after(m_key_leader.IsNamedLeader()
                                       ? kLeaderCheckInterval
                                       : kNonLeaderCheckInterval);
      if (!m_leader_wake_pending) {
        co_await m_leader_timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
      }
      m_leader_wake_pending = false;
      if (m_stopped) {
        break;
      }
      if (m_has_keys && !m_appending) {
        const bool take_over = HasKeyedService() && !m_draining &&
                               (m_key_leader.ShouldTakeOver(Now()) ||
                                (m_leader_failure_detector.ShouldTakeOver() &&
                                 CanTakeOverLeadership()));
        if (take_over) {
          m_key_leader.OnMovesCompleted(m_state.completed_moves());
        }
        if (auto next = m_key_leader.NextTable(Now(), take_over)) {
          m_appending = true;
          Spawn(m_executor, AppendTable(*std::move(next)));
        }
      }
      AnnounceCompletedMoves();
      for (KeyOrder& order : m_key_leader.TakeDueOrders(Now())) {
        Spawn(m_executor, SendOrder(std::move(order)));
      }
    }
  }

  boost::asio::awaitable<void> AppendTable(KeyTable table) {
    const KeyedRecord record{kKeyRecord, EncodeKeyTable(table)};
    const TopicPosition at = m_key_cursor.position();
    const MonotonicTime began = Now();
    const Result<TopicPosition> end = co_await m_append_log->Append(
        m_platform.key_topic(), record, at.offset, Now() + kAppendTimeout);
    m_metrics.IncrementEvent(end ? "keys_appended" : "keys_append_failed");
    if (end && m_key_cursor.OnAppended(at, end.value())) {
      ApplyKeys(Now(), table);
      m_key_leader.OnConfirmed(began);
    } else if (end.has_error()) {
      // The key feed will show whether a table was appended, by this instance
      // or another one.
      m_log.Write("keys_append_failed",
                  {{"error", end.error().message},
                   {"at", std::to_string(at.offset)},
                   {"era", std::to_string(at.era)},
                   {"term", std::to_string(table.term)},
                   {"fence", std::to_string(table.fencing_token)}});
      boost::asio::steady_timer pause(m_executor, kLeaderCheckInterval * 3);
      co_await pause.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    m_appending = false;
    WakeLeader();
  }

  boost::asio::awaitable<void> SendOrder(KeyOrder order) {
    const std::shared_ptr<Orders> orders = AcquireOrderClient(order);
    const Milliseconds limit = order.kind == KeyOrder::Kind::kRelease
                                   ? kReleaseTimeout
                                   : KeyLeader::kOrderTimeout;
    const std::int64_t start_time_ms = StartTimeOf(order.target);
    const MonotonicTime began_at = Now();
    const KeyOrderResult result = co_await orders->Send(order, Now() + limit);
    if (m_stopped) {
      co_return;
    }
    if (result.leaving) {
      OnTargetLeaving(order.target, start_time_ms);
    }
    m_order_clients[order.address].push_back(orders);
    RecordOrder(order, result);
    m_key_leader.OnOrderResult(Now(), order, result);
    if (result.outcome == KeyOrderOutcome::kNotSent ||
        result.outcome == KeyOrderOutcome::kUnknown) {
      RecordOrderFailure(order, began_at);
    }
    WakeLeader();
  }

  void RecordOrderFailure(const KeyOrder& order, MonotonicTime began_at) {
    const auto target = m_state.targets().find(order.target);
    if (target == m_state.targets().end()) {
      return;
    }
    if (GatewayService* service =
            m_services.Find(Now(), target->second.service)) {
      service->reachability.OnConnectFailed(began_at);
      m_on_order_failed();
    }
  }

  // Start time of the target's process; zero if the target is not listed.
  std::int64_t StartTimeOf(std::string_view target) const {
    const auto found = m_state.targets().find(target);
    return found == m_state.targets().end() ? 0 : found->second.start_time_ms;
  }

  // Returns an idle client for the order's target, or a new one, because a
  // client sends only one order at a time.
  std::shared_ptr<Orders> AcquireOrderClient(const KeyOrder& order) {
    std::vector<std::shared_ptr<Orders>>& idle = m_order_clients[order.address];
    if (idle.empty()) {
      return m_platform.NewKeyOrderClient(order.address);
    }
    std::shared_ptr<Orders> orders = std::move(idle.back());
    idle.pop_back();
    return orders;
  }

  static std::string_view KindName(KeyOrder::Kind kind) {
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

  void RecordOrder(const KeyOrder& order, const KeyOrderResult& result) {
    const std::string_view kind = KindName(order.kind);
    m_metrics.IncrementEvent(kind);
    // Successful grants are not logged: they are frequent renewals.
    if (order.kind == KeyOrder::Kind::kGrant &&
        result.outcome == KeyOrderOutcome::kDone) {
      return;
    }
    m_log.Write("key_order", {{"kind", kind},
                              {"target", order.target},
                              {"first", std::to_string(order.first)},
                              {"last", std::to_string(order.last)},
                              {"fence", std::to_string(order.fencing_token)},
                              {"outcome", ToString(result.outcome)},
                              {"status", std::to_string(result.status)}});
  }

  // Timeout of a release order: the target answers it only when its requests in
  // progress for the released keys have finished.
  static constexpr Milliseconds kReleaseTimeout{4000};
  // Key of the record that contains the key table.
  static constexpr const char* kKeyRecord = "table";

  boost::asio::any_io_executor m_executor;
  Platform& m_platform;
  RoutingState& m_state;
  GatewayMetrics& m_metrics;
  EventLog& m_log;
  LeaderLink& m_link;
  PoisonRequestDetector& m_poison_requests;
  GatewayServices& m_services;
  InstanceId m_instance;
  Incarnation m_incarnation = DrawIncarnation();
  LeaderFailureDetector m_leader_failure_detector;
  TargetRegistry m_registry;
  KeyLeader m_key_leader;
  ForwarderPlanner m_forwarder_planner;
  std::shared_ptr<typename Platform::Log> m_append_log;
  // Idle clients by target address.
  std::map<std::string, std::vector<std::shared_ptr<Orders>>> m_order_clients;
  // Whether the last read of each topic failed, by its name in event logs.
  std::map<std::string, bool> m_lost_topics;
  // Era of the last read of each topic.
  std::map<std::string, LogEra> m_eras;
  boost::asio::steady_timer m_leader_timer;
  // Shared by all feeds.
  std::shared_ptr<RelaySelection> m_relay_selection;
  RelayPlanner m_relay_planner;
  InstanceCounter m_instances;
  TargetLoadCollector m_target_load_collector;
  // For the responses to reports until the next UpdateTargetLoads().
  LeaderTargetLoads m_target_loads;
  std::string m_encoded_target_loads;
  // `m_target_loads` and the collector may have something.
  bool m_knows_target_loads = false;
  SharedRateLimiter m_rate_limiter;
  PermitRequests m_permit_requests;
  // Addresses of the instances that report to this one as the leader, with the
  // time of their last report.
  std::map<LeaderLink::Endpoint, MonotonicTime> m_reporters;
  // Completed moves at the last announcement, sorted.
  std::vector<FencingToken> m_announced_moves;
  MonotonicTime m_announce_at;
  MonotonicTime m_report_blocked_at;
  Feed m_policy_feed;
  Feed m_target_feed;
  Feed m_key_feed;
  ZoneName m_zone;
  LinkRate m_link_mbps;
  // "address:port" where other instances reach this one: by TCP to read through
  // it, by UDP for messages of LeaderLink.
  std::string m_peer_address;
  RelayServer m_relay_server;
  KeyTopicCursor m_key_cursor;
  std::function<void()> m_on_order_failed = [] {};
  bool m_has_keys = false;
  // When a read of the key topic last succeeded after an outage, or when the
  // log was last restored.
  MonotonicTime m_log_recovered_at;
  LogEra m_target_era = 0;
  std::set<ZoneName, std::less<>> m_evacuated_zones;
  bool m_has_targets = false;
  bool m_appending = false;
  bool m_leader_wake_pending = false;
  bool m_draining = false;
  bool m_stopped = false;
};

}  // namespace snipehall
