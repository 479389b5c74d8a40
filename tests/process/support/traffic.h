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

// A request that Traffic sends, with `id` in the header Snipehall-Request-Id.
// The response must be the one that the target stand-in gives to exactly this
// request.
struct TrafficRequest {
  std::string id;
  HttpClientRequest http_request;
  // Requested size of the response body; 0 selects the stand-in's small
  // response.
  std::size_t reply_bytes = 0;
  // Groups responses for TrafficReport::longest_gap; may be empty.
  std::string key = {};
};

// Whether `reply` is the target stand-in's response to exactly this request.
bool IsExpectedResponse(const TrafficRequest& request,
                        const HttpClientResponse& reply);

// Parameters of Traffic.
struct TrafficOptions {
  // Addresses to connect to; connections are assigned round-robin.
  std::vector<std::string> addresses;
  int connections = 64;
  // Number of requests to send; 0 means until Stop().
  std::uint64_t requests = 0;
  // A request without a response after this time counts as lost.
  std::chrono::milliseconds request_timeout{10000};
  // Delay between two requests on a connection.
  std::chrono::milliseconds pause{0};
  // Returns the request with this number, counted from 0. Called on the thread
  // of Traffic.
  std::function<TrafficRequest(std::uint64_t number)> make_request;
};

// Outcomes of the requests of a Traffic run.
struct TrafficReport {
  std::uint64_t sent = 0;
  // Responses of a target with the expected status, headers and body.
  std::uint64_t correct = 0;
  // Responses of a target that differ from the expected one.
  std::uint64_t incorrect = 0;
  // Responses of the router with the verdict that the request did not run, or
  // that it may have run.
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  // Requests without a complete response.
  std::uint64_t lost = 0;
  // Descriptions of the first responses that were not correct; losses come
  // first.
  std::vector<std::string> failures;
  // Target that gave the correct response, by request id.
  std::map<std::string, std::string> answered_by;
  // Ids of the requests counted in `not_run`.
  std::vector<std::string> refused_ids;
  // Latencies of correct responses in microseconds, unordered.
  std::vector<std::uint32_t> latencies_us;
  // Longest time between two correct responses, by key. The first interval
  // begins at the start of the run.
  std::map<std::string, std::chrono::microseconds> longest_gap;
  std::chrono::microseconds elapsed{0};

  // Latency in microseconds at a percentile from 0 to 100; 0 if there is none.
  std::uint32_t Percentile(double percentile) const;
  // One line with the counts and latencies, followed by `failures`.
  std::string Summary() const;
};

// A load generator: sends requests over many connections from a dedicated
// thread, one request at a time per connection, and checks that every response
// belongs to its request.
class Traffic {
 public:
  // Starts to send immediately.
  explicit Traffic(TrafficOptions options);
  // Aborts the requests in progress.
  ~Traffic();

  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  // Number of correct responses so far. Callable from any thread.
  std::uint64_t correct() const;

  // Stops sending new requests; those in progress continue.
  void Stop();

  // Waits until no request is in progress and returns the report. Call Stop()
  // first if TrafficOptions::requests is 0. Requests in progress end within
  // TrafficOptions::request_timeout.
  TrafficReport Finish();

 private:
  class Impl;

  std::unique_ptr<Impl> m_impl;
};

}  // namespace snipehall::test
