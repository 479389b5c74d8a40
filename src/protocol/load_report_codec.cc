#include "protocol/load_report_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>

#include "protocol/load_report.capnp.h"

namespace snipehall {

namespace {

capnp::Text::Reader ToText(const std::string& text) {
  return {text.data(), text.size()};
}

std::string FromText(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

KeyLoadReport ReadReport(wire::LoadReport::Reader reader) {
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

}  // namespace

std::string EncodeLoadReport(const KeyLoadReport& report) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::LoadReport>();
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
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  const auto bytes = out.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

Result<KeyLoadReport> DecodeLoadReport(std::span<const char> bytes) {
  try {
    kj::ArrayInputStream in(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader message(in);
    return ReadReport(message.getRoot<wire::LoadReport>());
  } catch (const kj::Exception& error) {
    return Fail(ErrorCode::kCorrupt,
                std::string("load report: ") + error.getDescription().cStr());
  }
}

}  // namespace snipehall
