#include "protocol/lead_message_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <utility>

#include "protocol/lead_message.capnp.h"

namespace snipehall {

namespace {

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

// Writes the content of a message into `root`.
struct ContentWriter {
  wire::LeadMessage::Builder root;

  void operator()(const LeadReport& report) {
    auto builder = root.initReport();
    builder.setZone(ToText(report.zone));
    builder.setRelayAddress(ToText(report.relay_address));
    WriteLoad(report.load, builder.initLoad());
    builder.setLink(report.link);
  }
  void operator()(const LeadServing& serving) {
    auto builder = root.initServing();
    builder.setReader(ToText(serving.reader));
    builder.setFastestLink(serving.fastest_link);
  }
  void operator()(const LeadSettled& settled) {
    auto fences =
        root.initSettled(static_cast<unsigned>(settled.fences.size()));
    for (unsigned i = 0; i < fences.size(); ++i) {
      fences.set(i, settled.fences[i]);
    }
  }
  void operator()(const LeadNotServing&) { root.setNotServing(); }
  void operator()(const LeadReplaced& replaced) {
    auto builder = root.initReplaced();
    builder.setTerm(replaced.term);
    builder.setHoldsMs(static_cast<std::uint32_t>(replaced.holds.count()));
  }
};

Result<LeadMessage> ReadMessage(wire::LeadMessage::Reader reader) {
  LeadMessage message;
  message.from = FromText(reader.getFrom());
  switch (reader.which()) {
    case wire::LeadMessage::REPORT:
      message.content = LeadReport{
          FromText(reader.getReport().getZone()),
          FromText(reader.getReport().getRelayAddress()),
          ReadLoad(reader.getReport().getLoad()), reader.getReport().getLink()};
      return message;
    case wire::LeadMessage::SERVING:
      message.content = LeadServing{FromText(reader.getServing().getReader()),
                                    reader.getServing().getFastestLink()};
      return message;
    case wire::LeadMessage::SETTLED: {
      LeadSettled settled;
      for (const std::uint64_t fence : reader.getSettled()) {
        settled.fences.push_back(fence);
      }
      message.content = std::move(settled);
      return message;
    }
    case wire::LeadMessage::NOT_SERVING:
      message.content = LeadNotServing();
      return message;
    case wire::LeadMessage::REPLACED:
      message.content =
          LeadReplaced{reader.getReplaced().getTerm(),
                       Milliseconds(reader.getReplaced().getHoldsMs())};
      return message;
  }
  return Fail(ErrorCode::kCorrupt, "lead message: unknown kind of content");
}

}  // namespace

std::string EncodeLeadMessage(const LeadMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::LeadMessage>();
  root.setFrom(ToText(message.from));
  std::visit(ContentWriter{root}, message.content);
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, builder);
  const auto bytes = out.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

Result<LeadMessage> DecodeLeadMessage(std::span<const char> bytes) {
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
