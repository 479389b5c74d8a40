#include "transport/gateway/leader_link.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <future>
#include <string>
#include <thread>

#include "transport/event_loop.h"
#include "unit/support/busy_loop.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Load: 65 instances report to a leader whose event loop is busy. A leader that
// answers none of four reports in a row, 1.6 s, is replaced.
Test(leader_link, reports_wait_no_second_at_a_busy_leader) {
  constexpr int kReports = 65;
  EventLoop io{1};
  EventLoop sender_io{1};
  int received = 0;
  std::promise<void> all_received;
  LeaderLink leader(io.get_executor(),
                    [&](const LeaderLink::Endpoint&, const LeaderMessage&) {
                      if (++received == kReports) {
                        all_received.set_value();
                      }
                    });
  cr_assert(leader.Start("127.0.0.1:0").has_value());
  const std::string address = leader.address();
  LeaderLink instance(sender_io.get_executor(),
                      [](const LeaderLink::Endpoint&, const LeaderMessage&) {});
  cr_assert(instance.Start("127.0.0.1:0").has_value());
  const auto keep_running = boost::asio::make_work_guard(io);
  std::thread thread([&] { io.run(); });
  milliseconds time{0};
  {
    const BusyLoop busy(io.get_executor());
    const Clock::time_point begin = Clock::now();
    for (int i = 0; i < kReports; ++i) {
      instance.Send(address, {"instance", LeaderReport{}});
    }
    all_received.get_future().wait_for(std::chrono::seconds(10));
    time = std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
  }
  io.stop();
  thread.join();
  leader.Close();
  instance.Close();
  io.DestroyPending();
  sender_io.DestroyPending();
  cr_assert(received == kReports && time < milliseconds(1000),
            "%d reports took %lld ms", received,
            static_cast<long long>(time.count()));
}

}  // namespace
}  // namespace snipehall::test
