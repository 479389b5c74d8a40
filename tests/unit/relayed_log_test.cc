#include "transport/relayed_log.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "transport/spawn.h"
#include "unit/support/fake_target.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

using std::chrono::milliseconds;

constexpr const char* kTopic = "topic";
// Within this time after its acknowledgement by the log, a change must be known
// to every instance that reaches the log.
constexpr milliseconds kChangeDeadline{2000};

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

RecordPage EmptyPage(MonotonicTime received_at) {
  RecordPage page;
  page.era = 1;
  page.sent_at = received_at;
  page.received_at = received_at;
  return page;
}

// A log without new records, which notes its first read.
class FakeLog {
 public:
  boost::asio::awaitable<Result<RecordPage>> Read(std::string,
                                                  std::uint64_t,
                                                  Milliseconds,
                                                  MonotonicTime) {
    if (!first_read_at) {
      first_read_at = Now();
    }
    co_return EmptyPage(Now());
  }
  boost::asio::awaitable<Result<RecordPage>> ReadNewest(std::string,
                                                        MonotonicTime) {
    co_return EmptyPage(Now());
  }
  boost::asio::awaitable<Result<TopicPosition>> Append(std::string,
                                                       KeyedRecord,
                                                       std::uint64_t,
                                                       MonotonicTime) {
    co_return Fail(ErrorCode::kUnavailable, "not supported");
  }
  void Close() {}

  std::optional<MonotonicTime> first_read_at;
};

// The response of a relay whose records are from `read_at`.
std::string RelayResponse(MonotonicTime read_at) {
  const MonotonicTime now = Now();
  const std::string body = EncodeRecordPage(EmptyPage(read_at), now);
  const auto age = std::chrono::duration_cast<milliseconds>(now - read_at);
  return std::string("HTTP/1.1 200 OK\r\n") + kRecordsAgeHeader + ": " +
         std::to_string(age.count()) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Waits as long as the query asks for new records, which do not come.
void WaitForRecords(const std::string& head) {
  const std::string parameter = "wait_ms=";
  const std::size_t found = head.find(parameter);
  std::this_thread::sleep_for(
      milliseconds(std::atoi(head.c_str() + found + parameter.size())));
}

// An instance that reads through a relay.
struct Reader {
  Reader(boost::asio::io_context& io, FakeTarget::Handler relay_handler)
      : relay(std::move(relay_handler)),
        selection(std::make_shared<RelaySelection>()),
        log(std::make_shared<FakeLog>()),
        relayed_log(io.get_executor(),
                    log,
                    selection,
                    {Milliseconds(0), Milliseconds(800)}) {
    selection->address = relay.address();
  }

  // Reads until `end` or until the log itself is read.
  boost::asio::awaitable<void> Run(MonotonicTime end) {
    while (!log->first_read_at && Now() < end) {
      (void)co_await relayed_log.Read(kTopic, {1, 0}, Milliseconds(700));
    }
    relayed_log.Close();
  }

  FakeTarget relay;
  std::shared_ptr<RelaySelection> selection;
  std::shared_ptr<FakeLog> log;
  RelayedLog<FakeLog> relayed_log;
};

// Ages of a relay's records when a reader first gets them.
constexpr milliseconds kAgeStep{100};
constexpr milliseconds kAgeEnd{1500};

// Runs one reader for each age, whose relay last read the log that long before
// and handles queries with `handler`. Checks that each reader turns to the log
// in time.
template <typename Handler>
void CheckReadersOfALostRelay(Handler handler) {
  boost::asio::io_context io;
  std::vector<std::unique_ptr<Reader>> readers;
  std::vector<MonotonicTime> known_at;
  for (milliseconds age{0}; age < kAgeEnd; age += kAgeStep) {
    const MonotonicTime read_at = Now() - age;
    known_at.push_back(read_at);
    readers.push_back(std::make_unique<Reader>(
        io, [handler, read_at, queries = std::make_shared<std::atomic<int>>(0)](
                RawSocket& connection, const std::string& head) {
          return handler(connection, head, read_at, ++*queries);
        }));
    Spawn(io.get_executor(),
          readers.back()->Run(read_at + 2 * kChangeDeadline));
  }
  io.run();
  for (std::size_t i = 0; i < readers.size(); ++i) {
    const auto& read_at = readers[i]->log->first_read_at;
    cr_assert(read_at.has_value());
    const auto late =
        std::chrono::duration_cast<milliseconds>(*read_at - known_at[i]);
    cr_assert(late <= kChangeDeadline,
              "with records %d ms old, the log was read after %d ms",
              static_cast<int>(i * kAgeStep.count()),
              static_cast<int>(late.count()));
  }
}

// Guards against an instance that goes on with old records for too long because
// its relay, which has lost the log, still answers.
Test(relayed_log, log_is_read_in_time_when_the_relay_has_lost_it) {
  CheckReadersOfALostRelay([](RawSocket& connection, const std::string& head,
                              MonotonicTime read_at, int query) {
    if (query > 1) {
      WaitForRecords(head);
    }
    return connection.Send(RelayResponse(read_at));
  });
}

// The same with a relay that does not answer any more.
Test(relayed_log, log_is_read_in_time_when_the_relay_is_silent) {
  CheckReadersOfALostRelay([](RawSocket& connection,
                              const std::string& /*head*/,
                              MonotonicTime read_at, int query) {
    if (query > 1) {
      std::this_thread::sleep_for(kChangeDeadline + milliseconds(500));
      return false;
    }
    return connection.Send(RelayResponse(read_at));
  });
}

// Guards against needless reads of the log, which all instances share: a relay
// whose own reads take as long as their long poll is used on.
Test(relayed_log, relay_that_reads_the_log_is_kept) {
  constexpr milliseconds kRelayReadInterval{850};
  std::atomic<int> queries = 0;
  const MonotonicTime begin = Now();
  boost::asio::io_context io;
  Reader reader(io, [&](RawSocket& connection, const std::string& head) {
    ++queries;
    WaitForRecords(head);
    const auto reads = (Now() - begin) / kRelayReadInterval;
    return connection.Send(RelayResponse(begin + reads * kRelayReadInterval));
  });
  Spawn(io.get_executor(), reader.Run(begin + milliseconds(4000)));
  io.run();
  cr_assert_not(reader.log->first_read_at.has_value());
  cr_assert(queries <= 8, "%d queries", queries.load());
}

}  // namespace
}  // namespace snipehall::test
