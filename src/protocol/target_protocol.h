#pragma once

#include <string>
#include <string_view>

#include "coordination/messages.h"
#include "state/result.h"

namespace snipehall {

// JSON bodies of the targets' control interface; see docs/design.md, 4.2. The
// decoders fail with kInvalidArgument for text that is not JSON, and with
// kCorrupt for invalid members.
std::string EncodeLeaseOrder(const LeaseOrder& order);
Result<LeaseOrder> DecodeLeaseOrder(std::string_view json);
std::string EncodeLeaseAnswer(const LeaseAnswer& answer);
Result<LeaseAnswer> DecodeLeaseAnswer(std::string_view json);

// Names of the headers in requests from callers, in requests to targets and in
// responses.
inline constexpr std::string_view kServiceHeader = "Snipehall-Service";
inline constexpr std::string_view kKeyHeader = "Snipehall-Key";
inline constexpr std::string_view kTenantHeader = "Snipehall-Tenant";
inline constexpr std::string_view kClassHeader = "Snipehall-Class";
inline constexpr std::string_view kRequestIdHeader = "Snipehall-Request-Id";
inline constexpr std::string_view kRepeatableHeader = "Snipehall-Repeatable";
inline constexpr std::string_view kDeadlineHeader = "Snipehall-Deadline-Ms";
inline constexpr std::string_view kVerdictHeader = "Snipehall-Verdict";
inline constexpr std::string_view kHashHeader = "Snipehall-Hash";
inline constexpr std::string_view kTokenHeader = "Snipehall-Token";

}  // namespace snipehall
