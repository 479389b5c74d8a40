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

// The control side of one instance, on the event loop of the test.
struct Instance {
  Instance(boost::asio::io_context& context,
           const std::string& address,
           PeerLimits limits = {}) {
    auto started = PeerLinkService::Start(
        address, context.get_executor(), limits,
        {.make_heartbeat_reply =
             [this](const Heartbeat& heartbeat) {
               received.push_back(heartbeat);
               return own;
             },
         .read_records =
             [](LogOffset from) {
               return std::vector<LogEntry>{{from, std::nullopt},
                                            {from + 1, std::nullopt}};
             },
         .on_heartbeat_response =
             [this](MonotonicTime sent, const Heartbeat& heartbeat) {
               answers.push_back(heartbeat);
               last_sent = sent;
               last_answered = Now();
             },
         .on_records =
             [this](std::span<const LogEntry> entries) {
               records.assign(entries.begin(), entries.end());
             }});
    if (started.has_value()) {
      links = std::move(started).value();
    }
  }

  Heartbeat own;
  std::vector<Heartbeat> received;
  std::vector<Heartbeat> answers;
  std::vector<LogEntry> records;
  MonotonicTime last_sent;
  MonotonicTime last_answered;
  std::unique_ptr<PeerLinkService> links;
};

// Runs the loop until `condition` holds or five seconds have passed.
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

// An answer has to carry the receiver's state as of the time of the answer.
Test(peer_link, heartbeat_is_answered_with_the_state_of_the_receiver) {
  boost::asio::io_context context;
  Instance first(context, "127.0.0.1:0");
  Instance second(context, "127.0.0.1:0");
  cr_assert(first.links && second.links);
  for (LogOffset offset = 1; offset <= 3; ++offset) {
    second.own = MakeHeartbeat(offset + 100);
    first.links->Send(SendHeartbeat{"entry-2", second.links->address(),
                                    MakeHeartbeat(offset)});
    cr_assert(
        RunUntil(context, [&] { return first.answers.size() == offset; }));
    cr_assert(second.received.back() == MakeHeartbeat(offset));
    cr_assert(first.answers.back() == second.own);
    cr_assert(first.last_sent <= first.last_answered);
  }
}

// A starting instance gets the log's records from a peer in a log outage.
Test(peer_link, records_are_fetched_from_a_peer) {
  boost::asio::io_context context;
  Instance first(context, "127.0.0.1:0");
  Instance second(context, "127.0.0.1:0");
  first.links->Send(FetchRecords{"entry-2", second.links->address(), 40});
  cr_assert(RunUntil(context, [&] { return !first.records.empty(); }));
  cr_assert_eq(first.records.size(), 2);
  cr_assert_eq(first.records[0].offset, 40);
  cr_assert_eq(first.records[1].offset, 41);
}

// A peer that accepts connections and then says nothing, as a stopped process
// does, must not hold up later heartbeats to it or to others.
Test(peer_link, silent_peer_is_given_up_and_tried_again) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor silent(
      context, {boost::asio::ip::address_v4::loopback(), 0});
  const std::string address =
      "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
  PeerLimits limits;
  limits.heartbeat_timeout = 50ms;
  Instance first(context, "127.0.0.1:0", limits);
  Instance second(context, "127.0.0.1:0", limits);
  int accepted = 0;
  std::function<void()> accept = [&] {
    silent.async_accept([&](boost::system::error_code error,
                            boost::asio::ip::tcp::socket socket) {
      if (!error) {
        ++accepted;
        static std::vector<boost::asio::ip::tcp::socket> kept;
        kept.push_back(std::move(socket));
        accept();
      }
    });
  };
  accept();
  cr_assert(RunUntil(context, [&] {
    first.links->Send(SendHeartbeat{"entry-3", address, MakeHeartbeat(1)});
    first.links->Send(
        SendHeartbeat{"entry-2", second.links->address(), MakeHeartbeat(1)});
    return accepted >= 3;
  }));
  cr_assert_gt(first.answers.size(), 3);
}

// A peer that was restarted at the same address must be reached again.
Test(peer_link, restarted_peer_is_reached_again) {
  boost::asio::io_context context;
  Instance first(context, "127.0.0.1:0");
  auto second = std::make_unique<Instance>(context, "127.0.0.1:0");
  const std::string address = second->links->address();
  const auto answered = [&](std::size_t count) {
    return RunUntil(context, [&] {
      first.links->Send(SendHeartbeat{"entry-2", address, MakeHeartbeat(1)});
      return first.answers.size() >= count;
    });
  };
  cr_assert(answered(2));
  second.reset();
  second = std::make_unique<Instance>(context, address);
  cr_assert(second->links != nullptr);
  cr_assert(answered(first.answers.size() + 2));
}

// A control thread that does not reply must not keep calls for ever.
Test(peer_link, call_without_a_reply_ends) {
  boost::asio::io_context context;
  boost::asio::io_context stuck;
  PeerLimits limits;
  limits.reply_timeout = 20ms;
  limits.queue_capacity = 4;
  Instance first(context, "127.0.0.1:0");
  Instance second(stuck, "127.0.0.1:0", limits);
  const MonotonicTime end = Now() + 300ms;
  RunUntil(context, [&] {
    first.links->Send(
        SendHeartbeat{"entry-2", second.links->address(), MakeHeartbeat(1)});
    return Now() > end;
  });
  cr_assert_gt(second.links->dropped(), 0);
  cr_assert(first.answers.empty());
  cr_assert(second.received.empty());
}

// Two daemons with the same peer address must not both start.
Test(peer_link, address_in_use_is_reported) {
  boost::asio::io_context context;
  Instance first(context, "127.0.0.1:0");
  Instance second(context, first.links->address());
  cr_assert(second.links == nullptr);
}

// The round trip through both control threads bounds how fresh a confirmation
// is.
Test(peer_link, round_trip_is_short) {
  boost::asio::io_context context;
  Instance first(context, "127.0.0.1:0");
  Instance second(context, "127.0.0.1:0");
  std::vector<std::chrono::microseconds> times;
  for (std::size_t count = 1; count <= 200; ++count) {
    first.links->Send(
        SendHeartbeat{"entry-2", second.links->address(), MakeHeartbeat(1)});
    cr_assert(RunUntil(context, [&] { return first.answers.size() == count; }));
    times.push_back(std::chrono::duration_cast<std::chrono::microseconds>(
        first.last_answered - first.last_sent));
  }
  std::sort(times.begin(), times.end());
  cr_log_info("heartbeat round trip: median %ld us, p99 %ld us",
              static_cast<long>(times[100].count()),
              static_cast<long>(times[198].count()));
  cr_assert(times[100] < 50ms);
}

}  // namespace
