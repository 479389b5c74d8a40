#include "load_scenario.h"

#include <boost/json.hpp>
#include <cmath>

namespace snipehall::bench {

namespace {

namespace json = boost::json;

double NumberMember(const json::object& object,
                    std::string_view name,
                    double value) {
  const json::value* member = object.if_contains(name);
  return member == nullptr ? value : member->to_number<double>();
}

std::string TextMember(const json::object& object,
                       std::string_view name,
                       std::string_view value) {
  const json::value* member = object.if_contains(name);
  return std::string(member == nullptr ? value
                                       : std::string_view(member->as_string()));
}

LoadStream ParseStream(const json::object& object) {
  LoadStream stream;
  stream.service = TextMember(object, "service", "");
  stream.request_class = TextMember(object, "class", "");
  stream.tenant = TextMember(object, "tenant", stream.tenant);
  stream.share = NumberMember(object, "share", stream.share);
  stream.keys = static_cast<std::size_t>(NumberMember(object, "keys", 0));
  stream.zipf = NumberMember(object, "zipf", stream.zipf);
  stream.work_ms = NumberMember(object, "work_ms", stream.work_ms);
  stream.long_share = NumberMember(object, "long_share", stream.long_share);
  stream.long_factor = NumberMember(object, "long_factor", stream.long_factor);
  const json::value* repeatable = object.if_contains("repeatable");
  stream.repeatable = repeatable == nullptr || repeatable->as_bool();
  stream.deadline_ms =
      static_cast<std::int64_t>(NumberMember(object, "deadline_ms", 1000));
  return stream;
}

std::discrete_distribution<std::size_t> KeyDistribution(
    const LoadStream& stream) {
  std::vector<double> weights(std::max<std::size_t>(1, stream.keys));
  for (std::size_t i = 0; i < weights.size(); ++i) {
    weights[i] = std::pow(static_cast<double>(i + 1), -stream.zipf);
  }
  return {weights.begin(), weights.end()};
}

}  // namespace

Result<LoadScenario> ParseScenario(std::string_view text) {
  try {
    const json::value document = json::parse(text);
    const json::object& object = document.as_object();
    LoadScenario scenario;
    scenario.name = TextMember(object, "name", "unnamed");
    scenario.duration_s =
        NumberMember(object, "duration_s", scenario.duration_s);
    for (const json::value& step : object.at("steps").as_array()) {
      scenario.steps.push_back({NumberMember(step.as_object(), "at_s", 0),
                                NumberMember(step.as_object(), "rate", 0)});
    }
    for (const json::value& stream : object.at("streams").as_array()) {
      scenario.streams.push_back(ParseStream(stream.as_object()));
    }
    if (scenario.steps.empty() || scenario.streams.empty()) {
      return Fail(ErrorCode::kInvalidArgument,
                  "a scenario needs at least one step and one stream");
    }
    return scenario;
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kInvalidArgument,
                std::string("malformed scenario: ") + error.what());
  }
}

ArrivalGenerator::ArrivalGenerator(const LoadScenario& scenario,
                                   std::uint64_t seed)
    : m_scenario(scenario), m_random(seed) {
  std::vector<double> shares;
  shares.reserve(scenario.streams.size());
  for (const LoadStream& stream : scenario.streams) {
    shares.push_back(stream.share);
    m_key_distributions.push_back(KeyDistribution(stream));
  }
  m_stream_distribution = {shares.begin(), shares.end()};
}

bool ArrivalGenerator::Next(Arrival& arrival) {
  const double rate = std::max(1e-3, RateAt(m_now_s));
  m_now_s += std::exponential_distribution<double>(rate)(m_random);
  if (m_now_s >= m_scenario.duration_s) {
    return false;
  }
  arrival.at_s = m_now_s;
  arrival.stream = m_stream_distribution(m_random);
  const LoadStream& stream = m_scenario.streams[arrival.stream];
  arrival.key = m_key_distributions[arrival.stream](m_random);
  arrival.is_long = std::bernoulli_distribution(stream.long_share)(m_random);
  arrival.work_ms =
      stream.work_ms * (arrival.is_long ? stream.long_factor : 1.0);
  return true;
}

double ArrivalGenerator::RateAt(double at_s) const {
  double rate = 0;
  for (const RateStep& step : m_scenario.steps) {
    if (step.at_s <= at_s) {
      rate = step.rate;
    }
  }
  return rate;
}

}  // namespace snipehall::bench
