#include "unit/support/data_fixture.h"

#include <future>
#include <set>

#include <criterion/criterion.h>

using namespace snipehall;        // NOLINT(google-build-using-namespace)
using namespace snipehall::test;  // NOLINT(google-build-using-namespace)

namespace {

MonotonicTime DeadlineAfter(Milliseconds time) {
  return std::chrono::steady_clock::now() + time;
}

// Returns the sum of a metric's counters and gauges over all labels.
double SumMetric(prometheus::Registry& registry, const std::string& name) {
  double sum = 0;
  for (const auto& family : registry.Collect()) {
    for (const auto& metric : family.metric) {
      if (family.name == name) {
        sum += metric.counter.value + metric.gauge.value;
      }
    }
  }
  return sum;
}

}  // namespace

// Guards against requests that a planned stop aborts, and against callers that
// keep a connection to an instance that stops.
Test(data_drain, requests_in_progress_finish) {
  std::promise<void> release;
  std::promise<void> arrived;
  FakeTarget target([&](RawSocket& connection, const std::string&) {
    arrived.set_value();
    release.get_future().wait();
    return connection.Send(kOkAnswer);
  });
  DataFixture fixture;
  fixture.AddService("pay", {target.address()});
  fixture.Start();
  RawSocket idle = fixture.Connect();
  RawSocket caller = fixture.Connect();
  caller.Send(FormatGet("/pay"));
  arrived.get_future().wait();
  auto drained = std::async(std::launch::async, [&fixture] {
    return fixture.service->Drain(DeadlineAfter(Milliseconds(10000)));
  });
  cr_assert(idle.IsAtEnd());
  cr_assert_not(fixture.Connect().is_open());
  release.set_value();
  const Response response = ReadResponse(caller);
  cr_assert_eq(response.status, 200);
  cr_assert(response.complete);
  cr_assert(caller.IsAtEnd());
  caller.Close();
  cr_assert_eq(drained.get(), 0);
}

// Guards against a drain that never returns, or that does not report the
// requests it aborted.
Test(data_drain, deadline_ends_the_drain) {
  std::promise<void> arrived;
  FakeTarget target([&arrived](RawSocket& connection, const std::string&) {
    arrived.set_value();
    connection.IsAtEnd();
    return false;
  });
  DataFixture fixture;
  fixture.AddService("pay", {target.address()});
  fixture.Start();
  RawSocket caller = fixture.Connect();
  caller.Send(FormatGet("/pay"));
  arrived.get_future().wait();
  cr_assert_eq(fixture.service->Drain(DeadlineAfter(Milliseconds(300))), 1);
  fixture.service.reset();
  cr_assert(caller.IsAtEnd());
}

// Guards against losing a request on a connection that was still in the listen
// backlog of the kernel when the drain began.
Test(data_drain, connections_in_the_backlog_are_served) {
  FakeTarget target([](RawSocket& connection, const std::string&) {
    return connection.Send(kOkAnswer);
  });
  DataFixture fixture;
  fixture.AddService("pay", {target.address()});
  fixture.Start();
  std::vector<RawSocket> callers;
  for (int i = 0; i < 50; ++i) {
    callers.push_back(fixture.Connect());
    callers.back().Send(FormatGet("/pay"));
  }
  cr_assert_eq(fixture.service->Drain(DeadlineAfter(Milliseconds(10000))), 0);
  for (RawSocket& caller : callers) {
    cr_assert_eq(ReadResponse(caller).status, 200);
    cr_assert(caller.IsAtEnd());
  }
}

// Guards against unbounded values of the tenant label, and against requests
// that are not counted.
Test(data_drain, metrics_are_counted_with_bounded_labels) {
  FakeTarget target([](RawSocket& connection, const std::string&) {
    return connection.Send(kOkAnswer);
  });
  DataFixture fixture;
  fixture.AddService("pay", {target.address()});
  fixture.Start();
  RawSocket caller = fixture.Connect();
  constexpr int kTenants = 250;
  for (int i = 0; i < kTenants; ++i) {
    caller.Send(
        FormatGet("/pay", "Snipehall-Tenant: t" + std::to_string(i) + "\r\n"));
    cr_assert_eq(ReadResponse(caller).status, 200);
  }
  caller.Send(FormatGet("/unknown"));
  cr_assert_eq(ReadResponse(caller).status, 404);
  std::set<std::string> tenants;
  std::uint64_t observed = 0;
  for (const auto& family : fixture.registry->Collect()) {
    for (const auto& metric : family.metric) {
      if (family.name != "snipehall_request_seconds") {
        continue;
      }
      observed += metric.histogram.sample_count;
      for (const auto& label : metric.label) {
        if (label.name == "tenant") {
          tenants.insert(label.value);
        }
      }
    }
  }
  cr_assert_eq(tenants.size(), 201U);
  cr_assert(tenants.contains("other"));
  cr_assert_eq(observed, static_cast<std::uint64_t>(kTenants));
  cr_assert_eq(SumMetric(*fixture.registry, "snipehall_requests_total"),
               kTenants + 1);
  cr_assert_eq(SumMetric(*fixture.registry, "snipehall_refusals_total"), 1);
  cr_assert(Eventually([&fixture] {
    return SumMetric(*fixture.registry, "snipehall_connections") == 2;
  }));
}
