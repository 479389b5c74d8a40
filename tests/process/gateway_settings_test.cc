#include "platform/policy_document.h"
#include "platform/settings_file.h"

#include <chrono>
#include <string>

#include <criterion/criterion.h>

namespace snipehall::platform {
namespace {

constexpr int kSharedBase = 430;

GatewaySettings Settings(const std::string& limits = "MemoryMb = 160\n") {
  return ParseSettings(
             "[Local]\nNodeName = \"edge-1\"\nIp = \"10.1.0.1\"\n"
             "Zone = \"zone-1\"\n[Local.Limits]\n" +
             limits +
             "[Network]\nInternalPorts = [7620, 7635]\n[Network.Listen]\n"
             "Front = \"10.1.0.1:80\"\nReady = \"10.1.0.1:81\"\n"
             "[Platform.Platform]\nAddress = \"10.1.0.2:82\"\n"
             "[Terms.Bounds]\nRetryBudgetRatio = 0.2\nRetryBudgetBase = " +
             std::to_string(kSharedBase) +
             "\nBudgetWindow = \"10s\"\nGrace = \"6s\"\n")
      .value();
}

// Load: every instance of a deployment sends all the retries that it may to a
// service with few requests.
Test(gateway_settings, instances_together_keep_the_shared_retry_budget) {
  constexpr int kRequestsPerInstance = 20;
  const GatewaySettings settings = Settings();
  for (const int instances : {1, 9, 61, 195, 300}) {
    SharedRetryBudget budget(settings.retry_limits);
    const MonotonicTime now = std::chrono::steady_clock::now();
    for (int i = 0; i < kRequestsPerInstance; ++i) {
      budget.OnRequest(now);
    }
    int retries = 0;
    while (budget.TryTake(now)) {
      ++retries;
    }
    const double allowed = 0.2 * kRequestsPerInstance * instances + kSharedBase;
    cr_assert(retries * instances <= allowed,
              "%d instances send %d retries, %.0f are allowed", instances,
              retries * instances, allowed);
  }
}

// Load: the same, after the leader told every instance how many there are.
Test(gateway_settings, instances_share_the_whole_base_of_the_retry_budget) {
  const GatewaySettings settings = Settings();
  for (const int instances : {1, 9, 61, 195, 300}) {
    SharedRetryBudget budget(settings.retry_limits);
    budget.set_instance_count(instances);
    const MonotonicTime now = std::chrono::steady_clock::now();
    int requests = 0;
    int retries = 0;
    for (; retries == 0; ++requests) {
      budget.OnRequest(now);
      while (budget.TryTake(now)) {
        ++retries;
      }
    }
    const double allowed = 0.2 * requests * instances + kSharedBase;
    cr_assert(retries * instances <= allowed,
              "%d instances send %d retries, %.0f are allowed", instances,
              retries * instances, allowed);
    cr_assert(requests <= 8, "%d instances need %d requests each for a retry",
              instances, requests);
  }
}

Test(gateway_settings, responses_take_a_part_of_the_memory) {
  cr_assert(Settings().response_buffer_bytes == std::size_t{20} << 20);
}

Test(gateway_settings, callers_take_a_part_of_the_memory_and_descriptors) {
  const GatewaySettings memory = Settings();
  cr_assert(memory.request_buffer_bytes == std::size_t{100} << 20);
  cr_assert(memory.max_caller_connections == 1280);
  const GatewaySettings both = Settings("MemoryMb = 260\nMaxFds = 4100\n");
  cr_assert(both.request_buffer_bytes == (std::size_t{325} << 20) / 2);
  cr_assert(both.max_caller_connections == 1950);
  const GatewaySettings none = Settings("");
  cr_assert(none.request_buffer_bytes == std::size_t{512} << 20);
  cr_assert(none.max_caller_connections == 10000);
}

// Load: a configuration from before routes had a priority.
Test(gateway_settings,
     a_configuration_without_priorities_has_no_urgent_routes) {
  for (const std::string priority :
       {"", R"("Priority":1,)", R"("Priority":0,)"}) {
    const auto policy = ParsePolicyDocument(
        R"({"Version":1,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100,
"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"},
"Listeners":[{"Host":"shop.example","Rules":[
{"Name":"booking","Kind":"non_idempotent","TargetLatency":"800ms",)" +
        priority + R"("Match":{"PathPrefix":"/"},"Action":{
"Service":"booking","Timeout":"2000ms","MaxAttempts":2}}]}],
"Clusters":[{"Name":"booking","HealthPath":"/health","MaxConnections":130,
"Protocol":"h1","Tls":false}]})");
    cr_assert(policy);
    cr_assert(policy.value()->has_urgent_routes() ==
              (priority.find('0') != std::string::npos));
  }
}

}  // namespace
}  // namespace snipehall::platform
