#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "process/support/http_client.h"

namespace snipehall::test {

// A request of Traffic. The id goes into Snipehall-Request-Id, and the answer
// has to be the target stand-in's answer to exactly this request.
struct TrafficRequest {
  std::string id;
  HttpClientRequest call;
  // Size of the answer's body; 0 for the small answer.
  std::size_t reply_bytes = 0;
  // Groups answers for TrafficReport::longest_gap; may be empty.
  std::string key = {};
};

// Whether `reply` is the target stand-in's answer to exactly this request.
bool IsRightAnswer(const TrafficRequest& request,
                   const HttpClientResponse& reply);

struct TrafficOptions {
  // Connections are spread over these addresses in turn.
  std::vector<std::string> addresses;
  int connections = 64;
  // Requests to send; 0: until Stop().
  std::uint64_t requests = 0;
  // Time after which a request without an answer counts as lost.
  std::chrono::milliseconds patience{10000};
  // Pause of a connection between two requests.
  std::chrono::milliseconds pause{0};
  // Makes the request of a number from 0. Called on the traffic's thread.
  std::function<TrafficRequest(std::uint64_t number)> make;
};

// What became of the requests.
struct TrafficReport {
  std::uint64_t sent = 0;
  // Answered by a target with exactly the right headers and body.
  std::uint64_t right = 0;
  // Answered by a target with anything else.
  std::uint64_t wrong = 0;
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  // No whole answer.
  std::uint64_t lost = 0;
  // Descriptions of the first answers that were not right.
  std::vector<std::string> faults;
  // Ids by outcome. `ended_right` holds the target of each answer.
  std::map<std::string, std::string> ended_right;
  std::vector<std::string> ended_not_run;
  // Latencies of right answers in microseconds, unordered.
  std::vector<std::uint32_t> latencies_us;
  // Longest time between two right answers of each key.
  std::map<std::string, std::chrono::microseconds> longest_gap;
  std::chrono::microseconds elapsed{0};

  // Latency in microseconds at a percentile, 0 to 100.
  std::uint32_t Percentile(double percentile) const;
  std::string Summary() const;
};

// Sends requests over many connections on a thread of its own, one request at
// a time on each, and checks every answer against its own request.
class Traffic {
 public:
  // Starts at once.
  explicit Traffic(TrafficOptions options);
  // Abandons what is in progress.
  ~Traffic();

  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  // Right answers so far. Callable at any time.
  std::uint64_t right() const;

  // Sends no new requests.
  void Stop();

  // Waits for the end of what is in progress; the patience bounds it.
  TrafficReport Finish();

 private:
  class Impl;

  std::unique_ptr<Impl> m_impl;
};

}  // namespace snipehall::test
