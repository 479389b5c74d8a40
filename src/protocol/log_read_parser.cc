#include <utility>

#include "protocol/platform_protocol.h"
#include "protocol/record_codec.h"

namespace snipehall {

Result<LogRead> ParseLogRead(std::string_view json) {
  Result<RawLogRead> raw = DecodeLogRead(json);
  if (!raw.has_value()) {
    return raw.error();
  }
  LogRead read;
  read.first_offset = raw.value().first;
  read.end_offset = raw.value().end;
  read.entries.reserve(raw.value().records.size());
  for (const RawLogRecord& record : raw.value().records) {
    LogEntry entry;
    entry.offset = record.offset;
    Result<Record> decoded = DecodeRecord(record.data);
    if (decoded.has_value()) {
      entry.record = std::move(decoded).value();
    }
    read.entries.push_back(std::move(entry));
  }
  return read;
}

}  // namespace snipehall
