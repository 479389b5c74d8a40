#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/messages.h"
#include "state/result.h"

namespace snipehall {

// JSON bodies of the platform's log service and instance list; see
// docs/design.md, 4.3 and 4.4. This is the protocol of the stand-ins in
// tests/standins; another platform needs a codec of its own.

// A log record before its text is decoded.
struct RawLogRecord {
  LogOffset offset = 0;
  std::string data;
};

// The response to a read of the log.
struct RawLogRead {
  // Offset of the oldest record that the log still retains.
  LogOffset first = 1;
  // Offset of the next record to be appended.
  LogOffset end = 1;
  std::vector<RawLogRecord> records;
};

std::string EncodeLogRead(const RawLogRead& read);

// Decodes a response of the log service but not the records in it. Fails with
// kInvalidArgument for text that is not JSON, and with kCorrupt for invalid
// members or offsets that do not increase.
Result<RawLogRead> DecodeLogRead(std::string_view json);

// Like DecodeLogRead(), but decodes the records as well. The `record` of an
// entry is empty if its text is not a valid record.
Result<LogRead> ParseLogRead(std::string_view json);

std::string EncodeInstanceList(std::span<const PlatformInstance> instances);

// Decodes the platform's list of instances. Fails with kInvalidArgument for
// text that is not JSON, and with kCorrupt for invalid members.
Result<std::vector<PlatformInstance>> DecodeInstanceList(std::string_view json);

}  // namespace snipehall
