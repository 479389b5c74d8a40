#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "coordination/controller.h"
#include "protocol/settings.h"
#include "state/published.h"
#include "transport/control_metrics.h"
#include "transport/control_service.h"
#include "transport/http_instance_list_client.h"
#include "transport/http_log_client.h"
#include "transport/http_target_client.h"
#include "transport/log_appender.h"
#include "transport/log_reader.h"
#include "transport/peer_link_service.h"
#include "transport/submission_table.h"
#include "transport/target_dispatcher.h"

namespace snipehall {

// What the control thread publishes to the other threads.
struct ControlOutputs {
  Published<RoutingTable> routing_table{std::make_shared<RoutingTable>()};
  Published<ControlStatus> status{std::make_shared<ControlStatus>()};
  std::atomic<MonotonicTime::rep> confirmed_until{0};
};

// Runs the controller on an event loop: passes it the log, the instance list,
// heartbeats and the answers of targets, and carries out its actions. All
// functions are called on the loop's thread, but for the constructor.
class ControlLoop {
 public:
  // `context` and `outputs` outlive the object.
  ControlLoop(boost::asio::io_context* context,
              const Settings& settings,
              const ControllerTiming& timing,
              Controller controller,
              std::shared_ptr<prometheus::Registry> registry,
              ControlOutputs* outputs);

  // Handlers for the peer links, which are then given to Start(). `links`
  // outlives the loop's run.
  PeerLinkService::Handlers MakePeerHandlers();
  void Start(PeerLinkService* links);

  // See ControlService.
  void Submit(const Record& record,
              MonotonicTime deadline,
              const ControlService::SubmitCallback& callback);
  void Leave();

  // Leaves, and ends all work on the event loop, so that its run() returns.
  void Stop();

 private:
  struct AskedTarget {
    MonotonicTime answered;
    MonotonicTime asked;
    bool reachable = false;
    int outstanding = 0;
  };

  void OnLogRead(const TimedLogRead& read);
  void OnLogFailure(const Error& error);
  void OnPeerRecords(std::span<const LogEntry> entries);
  // Reports records that were seen in the log to those who wait for them.
  void NoteSeen(std::span<const LogEntry> entries);
  void OnTargetAnswer(const TargetId& target,
                      const LeaseOrder* order,
                      const TimedLeaseAnswer& answer);
  void OnTargetFailure(const TargetId& target);
  boost::asio::awaitable<void> PollInstances();
  boost::asio::awaitable<void> TickRegularly();

  void Step(MonotonicTime now);
  void Execute(MonotonicTime now, Action& action);
  void Publish(MonotonicTime now);
  void PublishStatus(MonotonicTime now, bool confirmed);
  std::vector<TargetStatus> ListTargets(MonotonicTime now) const;
  void UpdateMetrics(MonotonicTime now);

  boost::asio::io_context* m_context;
  InstanceId m_instance;
  ZoneName m_zone;
  ControllerTiming m_timing;
  Controller m_controller;
  ControlMetrics m_metrics;
  ControlOutputs* m_outputs;
  PeerLinkService* m_links = nullptr;

  ByteCount m_bytes;
  ByteCount m_counted_bytes;
  HttpLogClient m_log;
  HttpInstanceListClient m_instance_list;
  LogReader<HttpLogClient> m_reader;
  LogAppender<HttpLogClient> m_appender;
  TargetDispatcher<HttpTargetClient> m_dispatcher;
  SubmissionTable m_submissions;
  boost::asio::steady_timer m_list_timer;
  boost::asio::steady_timer m_tick_timer;
  bool m_stopped = false;

  std::vector<PlatformInstance> m_instances;
  std::map<TargetId, AskedTarget, std::less<>> m_asked;
  bool m_log_reachable = false;
  bool m_list_reachable = true;
  bool m_confirmed = false;
  // Status is published when one of these differs, or at the deadline.
  bool m_status_stale = true;
  LogOffset m_published_offset = 0;
  MonotonicTime m_status_deadline;
};

}  // namespace snipehall
