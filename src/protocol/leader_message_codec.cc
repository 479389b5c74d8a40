#include "protocol/leader_message_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "protocol/lead_message.capnp.h"

namespace snipehall {

namespace {

// Upper bound of a number of instances that is read from a message.
constexpr std::uint32_t kMaxInstances = 1'000'000;

capnp::Text::Reader ToText(const std::string& text) {
  return {text.data(), text.size()};
}

std::string FromText(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

KeyLoadReport ReadLoad(wire::LoadReport::Reader reader) {
  KeyLoadReport report;
  report.service = FromText(reader.getService());
  report.requests_per_key = reader.getRequestsPerKey();
  for (const std::uint32_t key : reader.getKeys()) {
    report.keys.push_back(std::min(key, kLastKey));
  }
  for (const auto target : reader.getTargets()) {
    report.targets.push_back({FromText(target.getId()), target.getAnswers(),
                              Milliseconds(target.getTimeMs())});
  }
  return report;
}

void WriteLoad(const KeyLoadReport& report, wire::LoadReport::Builder root) {
  root.setService(ToText(report.service));
  root.setRequestsPerKey(report.requests_per_key);
  auto keys = root.initKeys(static_cast<unsigned>(report.keys.size()));
  for (unsigned i = 0; i < keys.size(); ++i) {
    keys.set(i, report.keys[i]);
  }
  auto targets = root.initTargets(static_cast<unsigned>(report.targets.size()));
  for (unsigned i = 0; i < targets.size(); ++i) {
    targets[i].setId(ToText(report.targets[i].target));
    targets[i].setAnswers(report.targets[i].answers);
    targets[i].setTimeMs(
        static_cast<std::uint32_t>(report.targets[i].time.count()));
  }
}

// Clamps a count to what its field can hold.
std::uint16_t ToField(std::int64_t value) {
  return static_cast<std::uint16_t>(std::clamp<std::int64_t>(
      value, 0, std::numeric_limits<std::uint16_t>::max()));
}

// Reads the sum of the relative times of `responses`.
double ReadTimeSum(double sum, double responses) {
  return std::isnan(sum)
             ? responses
             : std::clamp(sum, responses * TargetLoadTable::kMinRelativeTime,
                          responses * TargetLoadTable::kMaxRelativeTime);
}

// Reads a relative time; `overall` if the sender does not tell it.
double ReadTime(std::uint16_t percent, double overall) {
  return percent == 0
             ? overall
             : std::clamp(percent / 100.0, TargetLoadTable::kMinRelativeTime,
                          TargetLoadTable::kMaxRelativeTime);
}

std::vector<TargetLoadSample> ReadTargetLoads(
    capnp::List<wire::TargetLoadSample>::Reader reader) {
  std::vector<TargetLoadSample> samples;
  for (const auto item : reader) {
    TargetLoadSample sample{
        FromText(item.getTarget()),
        item.getOutstanding(),
        item.getSlots(),
        Milliseconds(item.getAgeMs()),
        item.getResponses(),
        ReadTimeSum(item.getRelativeTimeSum(), item.getResponses())};
    sample.busy_responses =
        std::min<std::uint32_t>(item.getBusyResponses(), sample.responses);
    sample.busy_time_sum =
        std::min(ReadTimeSum(item.getBusyTimeSum(), sample.busy_responses),
                 sample.relative_time_sum);
    samples.push_back(std::move(sample));
  }
  return samples;
}

std::vector<TargetLoadSummary> ReadTargetLoads(
    capnp::List<wire::TargetLoadSummary>::Reader reader) {
  std::vector<TargetLoadSummary> summary;
  for (const auto item : reader) {
    const double overall = ReadTime(item.getRelativeTimePercent(), 1);
    summary.push_back({FromText(item.getTarget()), item.getOutstanding(),
                       item.getSlots(), Milliseconds(item.getAgeMs()), overall,
                       ReadTime(item.getLightTimePercent(), overall),
                       ReadTime(item.getBusyTimePercent(), overall)});
  }
  return summary;
}

LeaderReport ReadReport(wire::Report::Reader reader) {
  LeaderReport report{FromText(reader.getZone()),
                      FromText(reader.getRelayAddress()),
                      ReadLoad(reader.getLoad()), reader.getLink()};
  for (const auto service : reader.getCutOff()) {
    report.cut_off_services.insert(FromText(service));
  }
  report.shutting_down = reader.getShuttingDown();
  report.target_loads = ReadTargetLoads(reader.getTargetLoads());
  return report;
}

LeaderServing ReadServing(wire::Serving::Reader reader) {
  LeaderServing serving{
      FromText(reader.getReader()), reader.getFastestLink(),
      static_cast<int>(std::min(reader.getInstances(), kMaxInstances))};
  for (const auto item : reader.getForwarders()) {
    auto& addresses = serving.forwarders[FromText(item.getService())];
    for (const auto address : item.getAddresses()) {
      addresses.push_back(FromText(address));
    }
  }
  return serving;
}

LeaderTargetLoads ReadTargetLoads(wire::TargetLoads::Reader reader) {
  LeaderTargetLoads loads;
  loads.targets = ReadTargetLoads(reader.getTargets());
  for (const auto item : reader.getKeyAdmissions()) {
    KeyFractions& fractions = loads.key_admissions[FromText(item.getService())];
    const auto keys = item.getKeys();
    const auto admitted = item.getAdmittedPerMille();
    for (unsigned i = 0; i < std::min(keys.size(), admitted.size()); ++i) {
      fractions[keys[i]] = std::min(admitted[i] / 1000.0, 1.0);
    }
  }
  return loads;
}

std::uint16_t ToPercent(double relative_time) {
  return ToField(std::lround(relative_time * 100));
}

// Writes what samples and summaries have in common.
template <typename Load, typename Builder>
void WriteReportedLoad(const Load& load, Builder builder) {
  builder.setTarget(ToText(load.target));
  builder.setOutstanding(ToField(load.outstanding));
  builder.setSlots(ToField(load.slots));
  builder.setAgeMs(ToField(load.age.count()));
}

void WriteKeyAdmissions(const ServiceName& service,
                        const KeyFractions& fractions,
                        wire::KeyAdmissions::Builder builder) {
  builder.setService(ToText(service));
  const auto size = static_cast<unsigned>(fractions.size());
  auto keys = builder.initKeys(size);
  auto admitted = builder.initAdmittedPerMille(size);
  unsigned index = 0;
  for (const auto& [key, fraction] : fractions) {
    keys.set(index, ToField(key));
    admitted.set(index++, ToField(std::max(1L, std::lround(fraction * 1000))));
  }
}

// Writes the content of a message into `root`.
struct ContentWriter {
  wire::LeadMessage::Builder root;

  void operator()(const LeaderReport& report) {
    auto builder = root.initReport();
    builder.setZone(ToText(report.zone));
    builder.setRelayAddress(ToText(report.relay_address));
    WriteLoad(report.load, builder.initLoad());
    builder.setLink(report.link_mbps);
    auto services = builder.initCutOff(
        static_cast<unsigned>(report.cut_off_services.size()));
    unsigned index = 0;
    for (const ServiceName& service : report.cut_off_services) {
      services.set(index++, ToText(service));
    }
    builder.setShuttingDown(report.shutting_down);
    auto loads = builder.initTargetLoads(
        static_cast<unsigned>(report.target_loads.size()));
    for (unsigned i = 0; i < loads.size(); ++i) {
      const TargetLoadSample& sample = report.target_loads[i];
      WriteReportedLoad(sample, loads[i]);
      loads[i].setResponses(ToField(sample.responses));
      loads[i].setRelativeTimeSum(static_cast<float>(sample.relative_time_sum));
      loads[i].setBusyResponses(ToField(sample.busy_responses));
      loads[i].setBusyTimeSum(static_cast<float>(sample.busy_time_sum));
    }
  }
  void operator()(const LeaderServing& serving) {
    auto builder = root.initServing();
    builder.setReader(ToText(serving.relay));
    builder.setFastestLink(serving.fastest_link_mbps);
    builder.setInstances(static_cast<std::uint32_t>(serving.instances));
    auto forwarders = builder.initForwarders(
        static_cast<unsigned>(serving.forwarders.size()));
    unsigned index = 0;
    for (const auto& [service, addresses] : serving.forwarders) {
      auto item = forwarders[index++];
      item.setService(ToText(service));
      auto list = item.initAddresses(static_cast<unsigned>(addresses.size()));
      for (unsigned i = 0; i < list.size(); ++i) {
        list.set(i, ToText(addresses[i]));
      }
    }
  }
  void operator()(const LeaderTargetLoads& content) {
    auto builder = root.initTargetLoads();
    auto loads =
        builder.initTargets(static_cast<unsigned>(content.targets.size()));
    for (unsigned i = 0; i < loads.size(); ++i) {
      const TargetLoadSummary& summary = content.targets[i];
      WriteReportedLoad(summary, loads[i]);
      loads[i].setRelativeTimePercent(ToPercent(summary.relative_time));
      loads[i].setLightTimePercent(ToPercent(summary.light_time));
      loads[i].setBusyTimePercent(ToPercent(summary.busy_time));
    }
    auto services = builder.initKeyAdmissions(
        static_cast<unsigned>(content.key_admissions.size()));
    unsigned index = 0;
    for (const auto& [service, fractions] : content.key_admissions) {
      WriteKeyAdmissions(service, fractions, services[index++]);
    }
  }
  void operator()(const LeaderMovesCompleted& completed) {
    auto fencing_tokens = root.initSettled(
        static_cast<unsigned>(completed.fencing_tokens.size()));
    for (unsigned i = 0; i < fencing_tokens.size(); ++i) {
      fencing_tokens.set(i, completed.fencing_tokens[i]);
    }
  }
  void operator()(const LeaderNotServing&) { root.setNotServing(); }
  void operator()(const LeaderPermitRequest& request) {
    auto builder = root.initPermitRequest();
    builder.setNumber(request.number);
    builder.setTarget(ToText(request.target));
    builder.setLimit(request.limit);
  }
  void operator()(const LeaderPermitResponse& response) {
    auto builder = root.initPermitResponse();
    builder.setNumber(response.number);
    builder.setGranted(response.granted);
    builder.setRetryAfterMs(
        static_cast<std::uint32_t>(response.retry_after.count()));
  }
  void operator()(const LeaderTableOutdated& outdated) {
    root.setOutdated(outdated.term);
  }
  void operator()(const LeaderTargetsLost& lost) {
    auto losses =
        root.initTargetsLost(static_cast<unsigned>(lost.losses.size()));
    for (unsigned i = 0; i < losses.size(); ++i) {
      const LeaderTargetsLost::Loss& loss = lost.losses[i];
      losses[i].setDigest(loss.digest);
      losses[i].setSentAgoMs(static_cast<std::uint32_t>(loss.sent_ago.count()));
      losses[i].setLostAgoMs(static_cast<std::uint32_t>(loss.lost_ago.count()));
      losses[i].setNumber(loss.number);
    }
  }
  void operator()(const LeaderRequestHarmless& harmless) {
    root.setHarmless(harmless.digest);
  }
  void operator()(const LeaderRequestsBlocked& blocked) {
    auto digests =
        root.initBlocked(static_cast<unsigned>(blocked.digests.size()));
    for (unsigned i = 0; i < digests.size(); ++i) {
      digests.set(i, blocked.digests[i]);
    }
  }
  void operator()(const LeaderTargetLeaving& leaving) {
    auto builder = root.initLeaving();
    builder.setId(ToText(leaving.target));
    builder.setStartMs(leaving.start_time_ms);
  }
  void operator()(const LeaderReplaced& replaced) {
    auto builder = root.initReplaced();
    builder.setTerm(replaced.term);
    builder.setHoldsMs(
        static_cast<std::uint32_t>(replaced.remaining_grant_time.count()));
    builder.setIncarnation(replaced.incarnation);
  }
};

Result<LeaderMessage> ReadMessage(wire::LeadMessage::Reader reader) {
  LeaderMessage message;
  message.from = FromText(reader.getFrom());
  switch (reader.which()) {
    case wire::LeadMessage::REPORT:
      message.content = ReadReport(reader.getReport());
      return message;
    case wire::LeadMessage::SERVING:
      message.content = ReadServing(reader.getServing());
      return message;
    case wire::LeadMessage::TARGET_LOADS:
      message.content = ReadTargetLoads(reader.getTargetLoads());
      return message;
    case wire::LeadMessage::SETTLED: {
      LeaderMovesCompleted completed;
      for (const std::uint64_t fencing_token : reader.getSettled()) {
        completed.fencing_tokens.push_back(fencing_token);
      }
      message.content = std::move(completed);
      return message;
    }
    case wire::LeadMessage::NOT_SERVING:
      message.content = LeaderNotServing();
      return message;
    case wire::LeadMessage::PERMIT_REQUEST: {
      const auto request = reader.getPermitRequest();
      if (!std::isfinite(request.getLimit()) || request.getLimit() <= 0) {
        return Fail(ErrorCode::kCorrupt, "lead message: limit out of range");
      }
      message.content = LeaderPermitRequest{request.getNumber(),
                                            FromText(request.getTarget()),
                                            request.getLimit()};
      return message;
    }
    case wire::LeadMessage::PERMIT_RESPONSE: {
      const auto response = reader.getPermitResponse();
      message.content =
          LeaderPermitResponse{response.getNumber(), response.getGranted(),
                               Milliseconds(response.getRetryAfterMs())};
      return message;
    }
    case wire::LeadMessage::OUTDATED:
      message.content = LeaderTableOutdated{reader.getOutdated()};
      return message;
    case wire::LeadMessage::TARGETS_LOST: {
      LeaderTargetsLost lost;
      for (const auto loss : reader.getTargetsLost()) {
        lost.losses.push_back(
            {loss.getDigest(), Milliseconds(loss.getSentAgoMs()),
             Milliseconds(loss.getLostAgoMs()), loss.getNumber()});
      }
      message.content = std::move(lost);
      return message;
    }
    case wire::LeadMessage::HARMLESS:
      message.content = LeaderRequestHarmless{reader.getHarmless()};
      return message;
    case wire::LeadMessage::BLOCKED: {
      LeaderRequestsBlocked blocked;
      for (const std::uint64_t digest : reader.getBlocked()) {
        blocked.digests.push_back(digest);
      }
      message.content = std::move(blocked);
      return message;
    }
    case wire::LeadMessage::LEAVING:
      message.content =
          LeaderTargetLeaving{FromText(reader.getLeaving().getId()),
                              reader.getLeaving().getStartMs()};
      return message;
    case wire::LeadMessage::REPLACED:
      message.content =
          LeaderReplaced{reader.getReplaced().getTerm(),
                         Milliseconds(reader.getReplaced().getHoldsMs()),
                         reader.getReplaced().getIncarnation()};
      return message;
  }
  return Fail(ErrorCode::kCorrupt, "lead message: unknown kind of content");
}

}  // namespace

std::string EncodeLeaderMessage(const LeaderMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::LeadMessage>();
  root.setFrom(ToText(message.from));
  std::visit(ContentWriter{root}, message.content);
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, builder);
  const auto bytes = out.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

Result<LeaderMessage> DecodeLeaderMessage(std::span<const char> bytes) {
  try {
    kj::ArrayInputStream in(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader message(in);
    return ReadMessage(message.getRoot<wire::LeadMessage>());
  } catch (const kj::Exception& error) {
    return Fail(ErrorCode::kCorrupt,
                std::string("lead message: ") + error.getDescription().cStr());
  }
}

}  // namespace snipehall
