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
#include "state/atomic_shared_ptr.h"
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

// State that the control thread publishes to the other threads.
struct ControlOutputs {
  AtomicSharedPtr<RoutingTable> routing_table{std::make_shared<RoutingTable>()};
  AtomicSharedPtr<ControlStatus> status{std::make_shared<ControlStatus>()};
  // See ControlService::confirmed_until().
  std::atomic<MonotonicTime::rep> confirmed_until{0};
};

// Runs the controller on an event loop: passes log records, the instance list,
// heartbeats and the responses of targets to it, and executes the actions that
// it returns. The constructor, and MakePeerHandlers() and Start() before the
// event loop runs, may be called on any thread; all other functions must be
// called on the thread of the event loop.
class ControlLoop {
 public:
  // `context` and `outputs` must outlive the object.
  ControlLoop(boost::asio::io_context* context,
              const Settings& settings,
              const ControllerTiming& timing,
              Controller controller,
              std::shared_ptr<prometheus::Registry> registry,
              ControlOutputs* outputs);

  // Returns the handlers with which to start the peer link service.
  PeerLinkService::Handlers MakePeerHandlers();

  // Starts reading the log, polling the instance list and running the
  // controller. `links` was started with the handlers of MakePeerHandlers() and
  // must outlive the run of the event loop.
  void Start(PeerLinkService* links);

  // See ControlService::Submit().
  void Submit(const Record& record,
              MonotonicTime deadline,
              const ControlService::SubmitCallback& callback);

  // See ControlService::Leave().
  void Leave();

  // Calls Leave() and cancels all work on the event loop, so that its run()
  // returns.
  void Stop();

 private:
  // The last exchange of control messages with a target.
  struct TargetContact {
    MonotonicTime last_answered;
    MonotonicTime last_contacted;
    bool reachable = false;
    int requests_in_progress = 0;
  };

  void OnLogRead(const TimestampedLogRead& read);
  void OnLogFailure(const Error& error);
  void OnPeerRecords(std::span<const LogEntry> entries);
  // Tells the appender which records have been read back from the log.
  void ConfirmAppends(std::span<const LogEntry> entries);
  void OnTargetAnswer(const TargetId& target,
                      const LeaseOrder* order,
                      const TimestampedLeaseResponse& answer);
  void OnTargetFailure(const TargetId& target);
  boost::asio::awaitable<void> PollInstances();
  boost::asio::awaitable<void> TickPeriodically();

  // Runs the controller once, executes its actions and publishes the result.
  void RunController(MonotonicTime now);
  void Execute(MonotonicTime now, Action& action);
  // Publishes the routing table and the confirmation, and the status if it
  // changed or is due.
  void Publish(MonotonicTime now);
  void PublishStatus(MonotonicTime now, bool confirmed);
  std::vector<TargetStatus> MakeTargetStatuses(MonotonicTime now) const;
  void UpdateMetrics(MonotonicTime now);

  boost::asio::io_context* m_context;
  InstanceId m_instance;
  ZoneName m_zone;
  ControllerTiming m_timing;
  Controller m_controller;
  ControlMetrics m_metrics;
  ControlOutputs* m_outputs;
  PeerLinkService* m_peer_links = nullptr;

  HttpByteCounters m_bytes;
  HttpByteCounters m_reported_bytes;
  HttpLogClient m_log;
  HttpInstanceListClient m_instance_list;
  LogReader<HttpLogClient> m_reader;
  LogAppender<HttpLogClient> m_appender;
  TargetDispatcher<HttpTargetClient> m_dispatcher;
  SubmissionTable m_submissions;
  boost::asio::steady_timer m_instance_list_timer;
  boost::asio::steady_timer m_tick_timer;
  bool m_stopped = false;

  std::vector<PlatformInstance> m_instances;
  std::map<TargetId, TargetContact, std::less<>> m_target_contacts;
  bool m_log_reachable = false;
  bool m_instance_list_reachable = true;
  bool m_confirmed = false;
  // The status is published when it is stale, when the offset of the state is
  // no longer `m_published_offset`, and at the deadline.
  bool m_status_stale = true;
  LogOffset m_published_offset = 0;
  MonotonicTime m_status_deadline;
};

}  // namespace snipehall
