#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/messages.h"
#include "state/result.h"

namespace snipehall {

// JSON bodies of the platform's log service and instance list; see
// docs/design.md, 4.3 and 4.4. They are the stand-ins' protocol: another
// platform needs another file like this one.

// A record as the log holds it, before it is decoded.
struct RawLogRecord {
  LogOffset offset = 0;
  std::string data;
};

struct RawLogRead {
  LogOffset first = 1;
  LogOffset end = 1;
  std::vector<RawLogRecord> records;
};

std::string EncodeLogRead(const RawLogRead& read);
Result<RawLogRead> DecodeLogRead(std::string_view json);

// Decodes the records inside as well. One that is no record has an empty
// `record`.
Result<LogRead> ParseLogRead(std::string_view json);

std::string EncodeInstanceList(std::span<const PlatformInstance> instances);
Result<std::vector<PlatformInstance>> DecodeInstanceList(std::string_view json);

}  // namespace snipehall
