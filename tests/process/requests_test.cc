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

// Reads of a keyed service and uploads to one that is not keyed, with bodies
// of many sizes in both directions.
TrafficRequest MixedRequest(std::uint64_t number) {
  TrafficRequest request;
  request.id = "mixed-" + std::to_string(number);
  request.call.path = "/item/" + std::to_string(number) + "?q=1";
  request.call.headers["Snipehall-Deadline-Ms"] = "10000";
  if (number % 4 == 0) {
    request.call.method = http::verb::post;
    request.call.headers["Snipehall-Service"] = "papertrail";
    request.call.body.assign(number * 37 % 8192,
                             static_cast<char>('a' + number % 26));
  } else {
    request.call.headers["Snipehall-Service"] = "gearshelf";
    request.call.headers["Snipehall-Key"] =
        "key-" + std::to_string(number % kKeys);
  }
  request.reply_bytes = number % 10 == 0 ? number * 13 % 20000 + 1 : 0;
  return request;
}

}  // namespace

// Guards against lost answers, answers that reach another caller, and bodies
// that are cut or mixed, under many connections at once.
Test(requests, each_caller_gets_its_own_answer, .timeout = 280) {
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
  traffic.make = MixedRequest;
  const TrafficReport report = Traffic(std::move(traffic)).Finish();
  std::printf("requests: %s\n", report.Summary().c_str());
  Require(report.right == kRequests, report.Summary());

  const auto history = ReadHistory(cluster.HistoryFiles());
  RequireNone(CheckOwners(history));
  // Uploads by POST may not be repeated, and no read had a reason to be.
  RequireNone(CheckOutcomes(history, report, false));
}

}  // namespace snipehall::test
