#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "transport/peer_link_service.h"

#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using snipehall::FetchRecords;
using snipehall::Heartbeat;
using snipehall::LogEntry;
using snipehall::LogOffset;
using snipehall::MonotonicTime;
using snipehall::PeerLimits;
using snipehall::PeerLinkService;
using snipehall::SendHeartbeat;

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

// An instance whose control thread is replaced by the event loop of the test.
struct Instance {
  Instance(boost::asio::io_context& context,
           const std::string& address,
           PeerLimits limits = {}) {
    auto started = PeerLinkService::Start(
        address, context.get_executor(), limits,
        {.make_heartbeat_reply =
             [this](const Heartbeat& heartbeat) {
               received_heartbeats.push_back(heartbeat);
               return own_heartbeat;
             },
         .read_records =
             [](LogOffset from) {
               return std::vector<LogEntry>{{from, std::nullopt},
                                            {from + 1, std::nullopt}};
             },
         .on_heartbeat_response =
             [this](MonotonicTime sent_at, const Heartbeat& heartbeat) {
               responses.push_back(heartbeat);
               last_sent_at = sent_at;
               last_response_at = Now();
             },
         .on_records =
             [this](std::span<const LogEntry> entries) {
               records.assign(entries.begin(), entries.end());
             }});
    if (started.has_value()) {
      service = std::move(started).value();
    }
  }

  Heartbeat own_heartbeat;
  std::vector<Heartbeat> received_heartbeats;
  std::vector<Heartbeat> responses;
  std::vector<LogEntry> records;
  MonotonicTime last_sent_at;
  MonotonicTime last_response_at;
  std::unique_ptr<PeerLinkService> service;
};

// Runs the event loop until `condition` holds or five seconds have passed.
// Returns whether it holds.
bool RunUntil(boost::asio::io_context& context,
              const std::function<bool()>& condition) {
  const MonotonicTime deadline = Now() + 5s;
  const auto work = boost::asio::make_work_guard(context);
  context.restart();
  while (!condition() && Now() < deadline) {
    context.run_one_for(5ms);
  }
  return condition();
}

Heartbeat MakeHeartbeat(LogOffset offset) {
  Heartbeat heartbeat;
  heartbeat.from = "entry-1";
  heartbeat.incarnation = UINT64_MAX;
  heartbeat.offset = offset;
  heartbeat.confirmed = true;
  heartbeat.lease_remaining_ms = {{"t1", 250}, {"t2", -3}};
  return heartbeat;
}

// Guards against a heartbeat response with an outdated state: it must contain
// the receiver's state at the time of the response.
Test(peer_link, heartbeat_is_answered_with_the_state_of_the_receiver) {
  boost::asio::io_context context;
  Instance first(context, "127.0.0.1:0");
  Instance second(context, "127.0.0.1:0");
  cr_assert(first.service && second.service);
  for (LogOffset offset = 1; offset <= 3; ++offset) {
    second.own_heartbeat = MakeHeartbeat(offset + 100);
    first.service->Send(SendHeartbeat{"entry-2", second.service->address(),
                                      MakeHeartbeat(offset)});
    cr_assert(
        RunUntil(context, [&] { return first.responses.size() == offset; }));
    cr_assert(second.received_heartbeats.back() == MakeHeartbeat(offset));
    cr_assert(first.responses.back() == second.own_heartbeat);
    cr_assert(first.last_sent_at <= first.last_response_at);
  }
}

// Guards against an instance that cannot start during a log outage, when it has
// to get the log's records from a peer.
Test(peer_link, records_are_fetched_from_a_peer) {
  boost::asio::io_context context;
  Instance first(context, "127.0.0.1:0");
  Instance second(context, "127.0.0.1:0");
  first.service->Send(FetchRecords{"entry-2", second.service->address(), 40});
  cr_assert(RunUntil(context, [&] { return !first.records.empty(); }));
  cr_assert_eq(first.records.size(), 2);
  cr_assert_eq(first.records[0].offset, 40);
  cr_assert_eq(first.records[1].offset, 41);
}

// Guards against an unresponsive peer that blocks later heartbeats to itself or
// to other peers. Like a stopped process, it accepts connections and sends
// nothing.
Test(peer_link, unresponsive_peer_times_out_and_is_retried) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor unresponsive(
      context, {boost::asio::ip::address_v4::loopback(), 0});
  const std::string address =
      "127.0.0.1:" + std::to_string(unresponsive.local_endpoint().port());
  PeerLimits limits;
  limits.heartbeat_timeout = 50ms;
  Instance first(context, "127.0.0.1:0", limits);
  Instance second(context, "127.0.0.1:0", limits);
  int accepted = 0;
  std::function<void()> accept = [&] {
    unresponsive.async_accept([&](boost::system::error_code error,
                                  boost::asio::ip::tcp::socket socket) {
      if (!error) {
        ++accepted;
        static std::vector<boost::asio::ip::tcp::socket> accepted_sockets;
        accepted_sockets.push_back(std::move(socket));
        accept();
      }
    });
  };
  accept();
  cr_assert(RunUntil(context, [&] {
    first.service->Send(SendHeartbeat{"entry-3", address, MakeHeartbeat(1)});
    first.service->Send(
        SendHeartbeat{"entry-2", second.service->address(), MakeHeartbeat(1)});
    return accepted >= 3;
  }));
  cr_assert_gt(first.responses.size(), 3);
}

// Guards against a link that does not reconnect to a peer that was restarted at
// the same address.
Test(peer_link, restarted_peer_is_reached_again) {
  boost::asio::io_context context;
  Instance first(context, "127.0.0.1:0");
  auto second = std::make_unique<Instance>(context, "127.0.0.1:0");
  const std::string address = second->service->address();
  const auto wait_for_responses = [&](std::size_t count) {
    return RunUntil(context, [&] {
      first.service->Send(SendHeartbeat{"entry-2", address, MakeHeartbeat(1)});
      return first.responses.size() >= count;
    });
  };
  cr_assert(wait_for_responses(2));
  second.reset();
  second = std::make_unique<Instance>(context, address);
  cr_assert(second->service != nullptr);
  cr_assert(wait_for_responses(first.responses.size() + 2));
}

// Guards against calls that never end because the control thread does not
// reply.
Test(peer_link, call_without_a_reply_times_out) {
  boost::asio::io_context context;
  boost::asio::io_context idle_context;
  PeerLimits limits;
  limits.reply_timeout = 20ms;
  limits.queue_capacity = 4;
  Instance first(context, "127.0.0.1:0");
  Instance second(idle_context, "127.0.0.1:0", limits);
  const MonotonicTime end = Now() + 300ms;
  RunUntil(context, [&] {
    first.service->Send(
        SendHeartbeat{"entry-2", second.service->address(), MakeHeartbeat(1)});
    return Now() > end;
  });
  cr_assert_gt(second.service->dropped(), 0);
  cr_assert(first.responses.empty());
  cr_assert(second.received_heartbeats.empty());
}

// Guards against calls that use the memory of a server that has ended: they are
// destroyed with the event loop, after it.
Test(peer_link, service_ends_while_calls_wait_for_a_reply) {
  constexpr int kCalls = 8;
  PeerLimits limits;
  limits.queue_capacity = kCalls / 2;
  boost::asio::io_context context;
  Instance first(context, "127.0.0.1:0");
  for (int round = 0; round < 20; ++round) {
    boost::asio::io_context idle_context;
    Instance second(idle_context, "127.0.0.1:0", limits);
    for (int call = 0; call < kCalls; ++call) {
      first.service->Send(
          SendHeartbeat{"entry-" + std::to_string(round * kCalls + call + 2),
                        second.service->address(), MakeHeartbeat(1)});
    }
    first.service->Send(FetchRecords{"entry-" + std::to_string(round + 2000),
                                     second.service->address(), 40});
    // The queue is full, so as many calls wait.
    cr_assert(RunUntil(context, [&] { return second.service->dropped() > 0; }));
    second.service.reset();
  }
}

// Guards against two daemons that both start with the same peer address.
Test(peer_link, address_in_use_is_reported) {
  boost::asio::io_context context;
  Instance first(context, "127.0.0.1:0");
  Instance second(context, first.service->address());
  cr_assert(second.service == nullptr);
}

// Guards against a slow round trip through both control threads, which limits
// how recent a confirmation can be.
Test(peer_link, round_trip_is_short) {
  boost::asio::io_context context;
  Instance first(context, "127.0.0.1:0");
  Instance second(context, "127.0.0.1:0");
  std::vector<std::chrono::microseconds> round_trip_times;
  for (std::size_t count = 1; count <= 200; ++count) {
    first.service->Send(
        SendHeartbeat{"entry-2", second.service->address(), MakeHeartbeat(1)});
    cr_assert(
        RunUntil(context, [&] { return first.responses.size() == count; }));
    round_trip_times.push_back(
        std::chrono::duration_cast<std::chrono::microseconds>(
            first.last_response_at - first.last_sent_at));
  }
  std::sort(round_trip_times.begin(), round_trip_times.end());
  cr_log_info("heartbeat round trip: median %ld us, p99 %ld us",
              static_cast<long>(round_trip_times[100].count()),
              static_cast<long>(round_trip_times[198].count()));
  cr_assert(round_trip_times[100] < 50ms);
}

}  // namespace
