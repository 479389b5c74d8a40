#pragma once

#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "state/key_table.h"
#include "state/reported_load.h"
#include "state/result.h"
#include "state/types.h"

namespace snipehall {

// Names of the headers that the gateway, its callers and its targets use beside
// the standard ones. The defaults are the project's own; a deployment may
// replace them.
struct GatewayHeaderNames {
  // Set by the caller: ID of the request. The target copies it to its response.
  std::string_view request_id = "Snipehall-Request-Id";
  // Set by the caller, and with a new value by the gateway: time left to
  // respond, in milliseconds. It is a duration, not a point in time.
  std::string_view time_left = "Snipehall-Deadline-Ms";
  // Set by the caller: key of a request to a keyed service, a decimal number
  // from 0 to kLastKey.
  std::string_view key = "Snipehall-Key";
  // Set by the gateway: ID of the target that is to run the request. Any other
  // target rejects it with status 421 (Misdirected Request).
  std::string_view expected_target = "Snipehall-Target";
  // Set by the target: proves that the target made the response. The gateway
  // checks only that a successful response has it.
  std::string_view signature = "Snipehall-Signature";
  // Set by the target, to any value, if it has not started the request, so that
  // the request may be sent again.
  std::string_view not_run = "Snipehall-Not-Run";
  // Set by the target: "running,queued,slots", the numbers of its running
  // requests, queued requests and slots.
  std::string_view load = "Snipehall-Load";
  // Set by an overloaded target: number of requests per second, a decimal
  // number, that it takes from all instances together while it sets the header.
  std::string_view rate_limit = "Snipehall-Rate-Limit";
  // Set by the target, to any value, in all responses once it is leaving. It is
  // to get no new requests.
  std::string_view leaving = "Snipehall-Leaving";
  // Set by an instance that forwards a request to another one, in place of
  // `expected_target`: to how many targets the request may still be sent. The
  // response then has `expected_target` with the ID of the target that made it.
  std::string_view attempts_left = "Snipehall-Attempts-Left";
};

// Values from the headers of a caller's request. The view points into the
// parsed head and must not outlive it.
struct GatewayRequestInfo {
  // Empty if the header is missing.
  std::string_view request_id;
  // At most 10 minutes; no value if the header is missing or empty.
  std::optional<Milliseconds> time_left;
  // From 0 to kLastKey; no value if the header is missing or empty.
  std::optional<KeyNumber> key;
  // Only in a request that another instance forwards; from 1 to 100.
  std::optional<int> attempts_left;
};

// Parses the headers of a caller's request. A time left above 10 minutes is
// reduced to 10 minutes. Fails with kInvalidArgument if one of the three
// headers is repeated, the time left is not a non-negative integer, or the key
// is not a number from 0 to kLastKey.
Result<GatewayRequestInfo> ParseGatewayRequest(
    const boost::beast::http::fields& fields,
    const GatewayHeaderNames& names);

// Appends the head of the request that the gateway sends to the target with the
// ID `target`: the caller's method, path with query and end-to-end headers. The
// time left, the expected target and the content length are the gateway's own.
void AppendTargetRequest(const boost::beast::http::request_header<>& request,
                         const GatewayHeaderNames& names,
                         std::string_view target,
                         Milliseconds time_left,
                         std::uint64_t body_length,
                         std::string& out);

// The same for a request that is forwarded to another instance; see
// GatewayHeaderNames::attempts_left.
void AppendForwardedRequest(const boost::beast::http::request_header<>& request,
                            const GatewayHeaderNames& names,
                            int attempts_left,
                            Milliseconds time_left,
                            std::uint64_t body_length,
                            std::string& out);

// Values from the head of a target's response.
struct TargetResponseInfo {
  // The response has a request ID.
  bool has_request_id = false;
  // The response has the request ID of the request.
  bool request_id_matches = false;
  // The response has a signature header; its value is not checked.
  bool has_signature = false;
  // The target states that it has not run the request, by header or by status
  // 421 (Misdirected Request).
  bool not_run = false;
  // The response has a Content-Encoding. Callers do not request one, so the
  // gateway does not forward such a response.
  bool has_content_encoding = false;
  // No value if the header is missing or malformed.
  std::optional<ReportedLoad> load;
  // Requests per second, at least 0; no value if the header is missing or
  // malformed.
  std::optional<double> rate_limit;
  // The target is leaving.
  bool leaving = false;
  // How long the target wants no requests from this instance: Retry-After of a
  // response with status 503. No value if it is missing or not a number.
  std::optional<Milliseconds> pause;
  // ID of the target that made the response; only in a response to a request
  // that was forwarded to another instance.
  std::string target;
};

// Parses the head of a target's response to the request with `request_id`.
TargetResponseInfo ParseTargetResponse(
    const boost::beast::http::response_header<>& response,
    const GatewayHeaderNames& names,
    std::string_view request_id);

// Appends the head of the response to a caller, made from the head of the
// target's response, but for what AppendHeadEnd() adds. `has_body` is false for
// responses that never have a body, such as those to HEAD; then `body_length`
// is ignored and the target's Content-Length is copied. The header
// `dropped_name` is left out.
void AppendCallerResponse(const boost::beast::http::response_header<>& response,
                          std::uint64_t body_length,
                          bool has_body,
                          std::string_view dropped_name,
                          std::string& out);

// Ends the head of a response to a caller. If `keep_alive` is false, adds
// "Connection: close".
void AppendHeadEnd(bool keep_alive, std::string& out);

// Appends a complete response without a body for a request that the gateway
// answers itself. `retry_after` is sent as Retry-After in seconds with two
// decimals; zero sends no such header. `more_fields` are complete lines.
void AppendLocalResponse(int status,
                         Milliseconds retry_after,
                         bool keep_alive,
                         std::string_view more_fields,
                         std::string& out);

}  // namespace snipehall
