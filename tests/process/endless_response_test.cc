#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "process/support/gateway_cluster.h"
#include "process/support/target_reporter.h"
#include "unit/support/fake_target.h"
#include "unit/support/raw_socket.h"

#include <criterion/criterion.h>

// Targets that send bytes without end, in each part of a response, until the
// gateway closes the connection.

namespace snipehall::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Memory limit of the gateway. The platform kills a process above it.
constexpr int kMemoryMb = 160;
constexpr std::size_t kBlockBytes = std::size_t{64} << 10;

// A response whose status line and ID of the request are followed by `begin`
// and by repetitions of `more`.
struct EndlessResponse {
  std::string_view begin;
  std::string_view more;
};

constexpr EndlessResponse kEndlessResponses[] = {
    // Trailer fields.
    {"Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
    // A chunk extension.
    {"Transfer-Encoding: chunked\r\n\r\n5;a=", "b"},
    // An extension of the last chunk.
    {"Transfer-Encoding: chunked\r\n\r\n0;a=", "b"},
    // A chunk size.
    {"Transfer-Encoding: chunked\r\n\r\n", "0"},
    // Chunks of one byte.
    {"Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
    // Large chunks.
    {"Transfer-Encoding: chunked\r\n\r\n", "8\r\nabcdefgh\r\n"},
    // A body of a given length.
    {"Content-Length: 1000000000000\r\n\r\n", "a"},
    // A body that ends with the connection.
    {"\r\n", "a"},
    // A header field, and header fields.
    {"A: ", "b"},
    {"", "A: b\r\n"},
    // Interim responses.
    {"\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
    // Bytes that are no response at all.
    {"\r\n\r\n", std::string_view("\0\r\n\xff", 4)},
};

// Responds to the request with `head` until the gateway closes the connection.
void SendEndlessly(RawSocket& connection,
                   const std::string& head,
                   const EndlessResponse& response) {
  connection.Send(
      "HTTP/1.1 200 OK\r\nAttempt-Id: " + HeaderOf(head, "Attempt-Id") +
      "\r\nResponse-Signature: s\r\n" + std::string(response.begin));
  std::string block;
  while (block.size() < kBlockBytes) {
    block += response.more;
  }
  while (connection.Send(block)) {
  }
}

// A target that responds to each request and each order without end, in another
// way each time.
class EndlessTarget {
 public:
  explicit EndlessTarget(std::string service)
      : m_service(std::move(service)),
        m_target([this](RawSocket& connection, const std::string& head) {
          const int number = m_responses++;
          SendEndlessly(
              connection, head,
              kEndlessResponses[number % std::size(kEndlessResponses)]);
          return false;
        }) {}

  const std::string& service() const { return m_service; }
  const std::string& address() const { return m_target.address(); }
  int responses() const { return m_responses; }

 private:
  std::string m_service;
  std::atomic<int> m_responses = 0;
  FakeTarget m_target;
};

// Sends requests to both services until `end`. Returns how many got no response
// at all.
int SendRequests(const GatewayCluster& cluster,
                 int caller,
                 Clock::time_point end,
                 std::atomic<int>& served) {
  int unanswered = 0;
  for (int i = 0; Clock::now() < end; ++i) {
    const std::string id = std::to_string(caller) + "-" + std::to_string(i);
    HttpClientRequest request{
        .path = "/catalog/item",
        .headers = {
            {"Host", "shop.example"},
            {"Attempt-Id", id},
            {"Deadline-Ms", "3000"},
            {"Shard-Key", std::to_string((caller * 977 + i * 7919) % 65536)}}};
    if (i % 2 == 0) {
      request.path = "/booking/item";
    }
    HttpClient client(cluster.address(0));
    const auto response = client.Send(request, Clock::now() + seconds(5));
    unanswered += response ? 0 : 1;
    served += response && response->status == 200 ? 1 : 0;
  }
  return unanswered;
}

// Guards against a gateway that keeps all bytes of a response without end, runs
// out of memory, and ends the requests of all its callers.
Test(endless_response, memory_is_bounded_and_other_requests_are_served) {
  constexpr int kCallers = 16;
  EndlessTarget keyed("catalog");
  EndlessTarget unkeyed("booking");
  GatewayCluster cluster({.gateways = 1,
                          .keyed_targets = 2,
                          .unkeyed_targets = 2,
                          .memory_mb = kMemoryMb});
  const TargetReporter keyed_reporter(cluster, "endless-1", keyed.service(),
                                      keyed.address());
  const TargetReporter unkeyed_reporter(cluster, "endless-2", unkeyed.service(),
                                        unkeyed.address());
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  const Clock::time_point end = Clock::now() + seconds(15);
  std::atomic<int> served = 0;
  std::atomic<int> unanswered = 0;
  {
    std::vector<std::jthread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back(
          [&, i] { unanswered += SendRequests(cluster, i, end, served); });
    }
  }
  const std::size_t peak_mb = cluster.PeakResidentBytes(0) >> 20;
  const int kinds = static_cast<int>(std::size(kEndlessResponses));
  Require(keyed.responses() >= kinds && unkeyed.responses() >= kinds,
          "the targets have sent " + std::to_string(keyed.responses()) +
              " and " + std::to_string(unkeyed.responses()) + " responses");
  Require(!cluster.WaitForExit(0, Clock::now()), "the gateway has ended");
  Require(peak_mb < kMemoryMb,
          "the gateway has used " + std::to_string(peak_mb) + " MB");
  Require(unanswered == 0,
          std::to_string(unanswered) + " requests got no response");
  Require(served > 0, "no request was served");
}

}  // namespace
}  // namespace snipehall::test
