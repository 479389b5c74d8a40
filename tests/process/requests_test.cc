#include <cstdio>
#include <string>

#include "process/support/cluster.h"
#include "process/support/history.h"
#include "process/support/traffic.h"

#include <criterion/criterion.h>

namespace snipehall::test {

namespace {

namespace http = boost::beast::http;

constexpr std::uint64_t kRequests = 200000;
constexpr std::uint64_t kKeys = 500;

// Returns a read from the keyed service or an upload to the non-keyed one, with
// request and response bodies of various sizes.
TrafficRequest MixedRequest(std::uint64_t number) {
  TrafficRequest request;
  request.id = "mixed-" + std::to_string(number);
  request.http_request.path = "/item/" + std::to_string(number) + "?q=1";
  request.http_request.headers["Snipehall-Deadline-Ms"] = "10000";
  if (number % 4 == 0) {
    request.http_request.method = http::verb::post;
    request.http_request.headers["Snipehall-Service"] = "papertrail";
    request.http_request.body.assign(number * 37 % 8192,
                                     static_cast<char>('a' + number % 26));
  } else {
    request.http_request.headers["Snipehall-Service"] = "gearshelf";
    request.http_request.headers["Snipehall-Key"] =
        "key-" + std::to_string(number % kKeys);
  }
  request.reply_bytes = number % 10 == 0 ? number * 13 % 20000 + 1 : 0;
  return request;
}

}  // namespace

// Guards against responses that are lost or sent to another caller, and against
// truncated or mixed-up bodies, with many concurrent connections.
Test(requests, each_caller_gets_its_own_response, .timeout = 280) {
  ClusterOptions options;
  ServiceSpec keyed;
  keyed.config = MakeService("gearshelf", true, options.zones, 64);
  keyed.targets_per_zone = 2;
  ServiceSpec uploads;
  uploads.config = MakeService("papertrail", false, options.zones, 64);
  uploads.targets_per_zone = 2;
  options.services = {keyed, uploads};
  Cluster cluster(options);

  TrafficOptions traffic;
  traffic.addresses = cluster.CallerAddresses();
  traffic.connections = 64;
  traffic.requests = kRequests;
  traffic.make_request = MixedRequest;
  const TrafficReport report = Traffic(std::move(traffic)).Finish();
  std::printf("requests: %s\n", report.Summary().c_str());
  Require(report.correct == kRequests, report.Summary());

  const auto history = ReadHistory(cluster.HistoryFiles());
  RequireNoViolations(CheckOwners(history));
  // Uploads by POST are not repeatable, and without faults no read has to be
  // retried.
  RequireNoViolations(CheckOutcomes(history, report, false));
}

}  // namespace snipehall::test
