#include "protocol/peer_codec.h"

#include <string>
#include <string_view>
#include <utility>

#include "protocol/record_codec.h"

namespace snipehall {
namespace {

capnp::Text::Reader ToText(const std::string& text) {
  return {text.data(), text.size()};
}

std::string FromText(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

}  // namespace

void WriteHeartbeat(const Heartbeat& heartbeat,
                    rpc::Heartbeat::Builder builder) {
  builder.setFrom(ToText(heartbeat.from));
  builder.setIncarnation(heartbeat.incarnation);
  builder.setOffset(heartbeat.offset);
  builder.setConfirmed(heartbeat.confirmed);
  builder.setLeaving(heartbeat.leaving);
  auto leases = builder.initLeases(heartbeat.lease_remaining_ms.size());
  unsigned index = 0;
  for (const auto& [target, remaining_ms] : heartbeat.lease_remaining_ms) {
    leases[index].setTarget(ToText(target));
    leases[index].setRemainingMs(remaining_ms);
    ++index;
  }
}

Heartbeat ReadHeartbeat(rpc::Heartbeat::Reader reader) {
  Heartbeat heartbeat;
  heartbeat.from = FromText(reader.getFrom());
  heartbeat.incarnation = reader.getIncarnation();
  heartbeat.offset = reader.getOffset();
  heartbeat.confirmed = reader.getConfirmed();
  heartbeat.leaving = reader.getLeaving();
  for (const auto lease : reader.getLeases()) {
    heartbeat.lease_remaining_ms[FromText(lease.getTarget())] =
        lease.getRemainingMs();
  }
  return heartbeat;
}

void WriteRecords(std::span<const LogEntry> entries,
                  std::size_t max_records,
                  std::size_t max_bytes,
                  rpc::Peer::RecordsResults::Builder builder) {
  std::vector<std::string> texts;
  std::size_t bytes = 0;
  for (const LogEntry& entry : entries) {
    if (texts.size() >= max_records || (!texts.empty() && bytes >= max_bytes)) {
      break;
    }
    texts.push_back(entry.record ? EncodeRecord(*entry.record) : std::string());
    bytes += texts.back().size();
  }
  auto records = builder.initRecords(texts.size());
  for (unsigned index = 0; index < texts.size(); ++index) {
    records[index].setOffset(entries[index].offset);
    records[index].setData(ToText(texts[index]));
  }
}

std::vector<LogEntry> ReadRecords(rpc::Peer::RecordsResults::Reader reader) {
  std::vector<LogEntry> entries;
  const auto records = reader.getRecords();
  entries.reserve(records.size());
  for (const auto record : records) {
    LogEntry entry;
    entry.offset = record.getOffset();
    const capnp::Text::Reader text = record.getData();
    Result<Record> decoded =
        DecodeRecord(std::string_view(text.begin(), text.size()));
    if (decoded.has_value()) {
      entry.record = std::move(decoded).value();
    }
    entries.push_back(std::move(entry));
  }
  return entries;
}

}  // namespace snipehall
