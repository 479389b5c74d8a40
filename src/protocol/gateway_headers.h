#pragma once

#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/target_chooser.h"
#include "state/key_table.h"
#include "state/result.h"
#include "state/types.h"

namespace snipehall {

// Names of the headers in the requests and answers of a gateway's callers and
// targets. The defaults are the project's own; a deployment may replace them.
struct GatewayHeaderNames {
  // ID of a request. The caller chooses it and the target echoes it.
  std::string_view request_id = "Snipehall-Request-Id";
  // Time left until the caller's deadline, in milliseconds.
  std::string_view time_left = "Snipehall-Deadline-Ms";
  // Key of a request to a keyed service, a decimal number.
  std::string_view key = "Snipehall-Key";
  // ID of the target that is to run the request; any other target refuses it.
  std::string_view expected_target = "Snipehall-Target";
  // Proves that the answer was made by the target.
  std::string_view signature = "Snipehall-Signature";
  // Present if the target has not run the request.
  std::string_view not_run = "Snipehall-Not-Run";
  // Numbers of the target's running requests, queued requests and slots,
  // separated by commas.
  std::string_view load = "Snipehall-Load";
};

// Values from the headers of a caller's request. The view points into the
// parsed head and must not outlive it.
struct GatewayRequestInfo {
  std::string_view request_id;
  std::optional<Milliseconds> time_left;
  std::optional<KeyNumber> key;
};

// Parses the headers of a caller's request. A longer time left than 10 minutes
// is reduced to 10 minutes. Fails with kInvalidArgument if a header is repeated
// or its value is not a number in the allowed range.
Result<GatewayRequestInfo> ParseGatewayRequest(
    const boost::beast::http::fields& fields,
    const GatewayHeaderNames& names);

// Appends the head of the request that the gateway sends to `target`: the
// caller's method, path and end-to-end headers, with the gateway's own values
// of the time left, the expected target and the content length.
void AppendTargetRequest(const boost::beast::http::request_header<>& request,
                         const GatewayHeaderNames& names,
                         std::string_view target,
                         Milliseconds time_left,
                         std::uint64_t body_length,
                         std::string& out);

// Values from the head of a target's answer.
struct TargetResponseInfo {
  // The answer echoes the given request ID.
  bool request_id_matches = false;
  bool has_signature = false;
  // The target says that it has not run the request, by header or by status 421
  // (Misdirected Request).
  bool not_run = false;
  // The answer has a Content-Encoding, which no caller asks for.
  bool has_content_encoding = false;
  // Without a value if the header is missing or malformed.
  std::optional<ReportedLoad> load;
};

// Parses the head of a target's answer to the request with `request_id`.
TargetResponseInfo ParseTargetResponse(
    const boost::beast::http::response_header<>& answer,
    const GatewayHeaderNames& names,
    std::string_view request_id);

// Appends the head of the answer that a caller gets, made from the head of the
// target's answer. `has_body` is false for answers that never have a body, such
// as those to HEAD; they keep the target's Content-Length.
void AppendCallerResponse(const boost::beast::http::response_header<>& answer,
                          std::uint64_t body_length,
                          bool has_body,
                          bool keep_alive,
                          std::string& out);

// Appends a complete answer without a body that the gateway itself gives, not a
// target. Adds no Retry-After header if `retry_after` is zero.
void AppendLocalResponse(int status,
                         Milliseconds retry_after,
                         bool keep_alive,
                         std::string& out);

}  // namespace snipehall
