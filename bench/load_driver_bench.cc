#include <getopt.h>

#include <boost/algorithm/string.hpp>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <deque>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "load_report.h"
#include "load_scenario.h"
#include "protocol/target_protocol.h"

// Open-loop load driver: requests start at their intended times, regardless of
// whether earlier requests have been answered. Latency is measured from the
// intended start.

namespace snipehall::bench {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

// Time after a request's deadline at which the driver stops waiting for an
// answer. Also the timeout for connecting.
constexpr std::chrono::milliseconds kAnswerGracePeriod{2000};

struct DriverOptions {
  std::vector<Tcp::endpoint> instances;
  LoadScenario scenario;
  std::uint64_t seed = 1;
};

// Keep-alive connection, which is reused for later requests.
using Connection = std::unique_ptr<beast::tcp_stream>;

// Sends the requests of a scenario to the instances in turn and records their
// outcomes.
class LoadDriver {
 public:
  explicit LoadDriver(const DriverOptions& options)
      : m_options(options),
        m_generator(options.scenario, options.seed),
        m_idle_connections(options.instances.size()) {}

  // Runs the whole scenario and waits for the last answers. Call once.
  LoadReport Run() {
    m_start = Clock::now();
    asio::co_spawn(m_context, SendAll(), asio::detached);
    m_context.run();
    return std::move(m_report);
  }

 private:
  asio::awaitable<void> SendAll() {
    asio::steady_timer timer(m_context);
    Arrival arrival;
    std::uint64_t number = 0;
    while (m_generator.Next(arrival)) {
      const auto intended_time =
          m_start + std::chrono::duration_cast<Clock::duration>(
                        std::chrono::duration<double>(arrival.at_s));
      if (intended_time > Clock::now()) {
        timer.expires_at(intended_time);
        co_await timer.async_wait(asio::use_awaitable);
      }
      asio::co_spawn(m_context, Send(arrival, ++number), asio::detached);
    }
  }

  http::request<http::empty_body> MakeRequest(const Arrival& arrival,
                                              std::string_view id) const {
    const LoadStream& stream = m_options.scenario.streams[arrival.stream];
    http::request<http::empty_body> request(http::verb::get, "/work", 11);
    request.set(http::field::host, "load");
    request.set(kServiceHeader, stream.service);
    request.set(kTenantHeader, stream.tenant);
    request.set(kRequestIdHeader, id);
    request.set(kRepeatableHeader, stream.repeatable ? "yes" : "no");
    request.set(kDeadlineHeader, std::to_string(stream.deadline_ms));
    request.set("X-Work-Ms", std::to_string(arrival.work_ms));
    if (!stream.request_class.empty()) {
      request.set(kClassHeader, stream.request_class);
    }
    if (stream.keys > 0) {
      request.set(kKeyHeader, "key-" + std::to_string(arrival.key));
    }
    return request;
  }

  asio::awaitable<void> Send(Arrival arrival, std::uint64_t number) {
    const std::size_t instance = number % m_options.instances.size();
    const std::string id =
        std::to_string(m_options.seed) + "-" + std::to_string(number);
    const LoadStream& stream = m_options.scenario.streams[arrival.stream];
    RequestSample sample;
    sample.intended_s = arrival.at_s;
    sample.stream = arrival.stream;
    sample.is_long = arrival.is_long;
    try {
      sample.outcome = co_await Exchange(instance, MakeRequest(arrival, id), id,
                                         stream.deadline_ms);
    } catch (const boost::system::system_error&) {
      sample.outcome = RequestOutcome::kMayHaveRun;
    }
    sample.latency_s =
        std::chrono::duration<double>(Clock::now() - m_start).count() -
        arrival.at_s;
    sample.met_deadline =
        sample.latency_s * 1000 <= static_cast<double>(stream.deadline_ms);
    m_report.Add(sample);
  }

  asio::awaitable<RequestOutcome> Exchange(
      std::size_t instance,
      http::request<http::empty_body> request,
      std::string_view id,
      std::int64_t deadline_ms) {
    Connection connection = co_await AcquireConnection(instance);
    connection->expires_after(std::chrono::milliseconds(deadline_ms) +
                              kAnswerGracePeriod);
    co_await http::async_write(*connection, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    co_await http::async_read(*connection, buffer, answer, asio::use_awaitable);
    if (answer.keep_alive()) {
      m_idle_connections[instance].push_back(std::move(connection));
    }
    co_return ClassifyAnswer(answer, id);
  }

  static RequestOutcome ClassifyAnswer(
      const http::response<http::string_body>& answer,
      std::string_view id) {
    const auto verdict = answer.find(kVerdictHeader);
    if (verdict != answer.end()) {
      return verdict->value() == "not-run" ? RequestOutcome::kRefused
                                           : RequestOutcome::kMayHaveRun;
    }
    if (answer.result() != http::status::ok) {
      return RequestOutcome::kMayHaveRun;
    }
    return answer.body().find(id) == std::string::npos
               ? RequestOutcome::kWrongAnswer
               : RequestOutcome::kCompleted;
  }

  asio::awaitable<Connection> AcquireConnection(std::size_t instance) {
    auto& idle_connections = m_idle_connections[instance];
    if (!idle_connections.empty()) {
      Connection connection = std::move(idle_connections.back());
      idle_connections.pop_back();
      co_return connection;
    }
    auto connection = std::make_unique<beast::tcp_stream>(m_context);
    connection->expires_after(kAnswerGracePeriod);
    co_await connection->async_connect(m_options.instances[instance],
                                       asio::use_awaitable);
    connection->socket().set_option(Tcp::no_delay(true));
    co_return connection;
  }

  const DriverOptions& m_options;
  asio::io_context m_context{1};
  ArrivalGenerator m_generator;
  std::vector<std::deque<Connection>> m_idle_connections;
  Clock::time_point m_start;
  LoadReport m_report;
};

[[noreturn]] void ExitWithError(std::string_view message) {
  std::cerr << "load_driver_bench: " << message << '\n';
  std::exit(2);
}

Tcp::endpoint ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    ExitWithError("address without a port: " + text);
  }
  return {asio::ip::make_address(text.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

LoadScenario ReadScenarioFile(const char* path) {
  std::ifstream file(path);
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  auto scenario = ParseScenario(text);
  if (!scenario) {
    ExitWithError(scenario.error().message);
  }
  return std::move(scenario.value());
}

DriverOptions ParseArguments(int argc, char** argv) {
  static const option kOptions[] = {
      {"instances", required_argument, nullptr, 'i'},
      {"scenario", required_argument, nullptr, 's'},
      {"seed", required_argument, nullptr, 'r'},
      {nullptr, 0, nullptr, 0}};
  DriverOptions options;
  int option_code = 0;
  while ((option_code = getopt_long(argc, argv, "i:s:r:", kOptions, nullptr)) !=
         -1) {
    if (option_code == 'i') {
      std::vector<std::string> addresses;
      boost::split(addresses, std::string(optarg), boost::is_any_of(","));
      for (const std::string& address : addresses) {
        options.instances.push_back(ParseEndpoint(address));
      }
    } else if (option_code == 's') {
      options.scenario = ReadScenarioFile(optarg);
    } else if (option_code == 'r') {
      options.seed = std::stoull(optarg);
    } else {
      ExitWithError(
          "usage: load_driver_bench --instances IP:PORT,... --scenario FILE "
          "[--seed N]");
    }
  }
  if (options.instances.empty() || options.scenario.streams.empty()) {
    ExitWithError("--instances and --scenario are required");
  }
  return options;
}

}  // namespace

}  // namespace snipehall::bench

int main(int argc, char** argv) {
  const auto options = snipehall::bench::ParseArguments(argc, argv);
  snipehall::bench::LoadDriver driver(options);
  const auto report = driver.Run();
  auto json = report.ToJson(options.scenario);
  json["seed"] = options.seed;
  std::cout << boost::json::serialize(json) << '\n';
  return 0;
}
