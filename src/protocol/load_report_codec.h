#pragma once

#include <span>
#include <string>

#include "coordination/key_load.h"
#include "state/result.h"

namespace snipehall {

// A report as one datagram, in Cap'n Proto's packed form.
std::string EncodeLoadReport(const KeyLoadReport& report);

// Fails with kCorrupt when the bytes are no report.
Result<KeyLoadReport> DecodeLoadReport(std::span<const char> bytes);

}  // namespace snipehall
