#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/verb.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "state/result.h"
#include "state/types.h"

namespace snipehall {

// Values from the headers of a caller's request; see docs/design.md, 4.1. The
// views point into the parsed head and must not outlive it.
struct RequestContext {
  // From the Snipehall-Service header, or else the first segment of the path.
  std::string_view service;
  // Empty if the request has no key.
  std::string_view key;
  std::string_view tenant = "default";
  // Empty for the service's default class.
  std::string_view request_class;
  // Empty if the instance is to generate one.
  std::string_view request_id;
  // Whether the request may run more than once. The default is true for GET and
  // HEAD only.
  bool idempotent = false;
  // Time until the deadline; without a value the class's default applies.
  std::optional<Milliseconds> timeout;
};

// Parses the headers of a request with the given method and a request target in
// origin form. Fails with kInvalidArgument if a Snipehall-* header is repeated
// or has an invalid value, or if the request names no service.
Result<RequestContext> ParseRequestContext(
    const boost::beast::http::fields& fields,
    boost::beast::http::verb method,
    std::string_view target);

// How the end of a message's body is marked: there is no body, by
// Content-Length, or by chunked transfer coding.
enum class BodyFraming { kNone, kLength, kChunked };

// Values that the instance sets in the headers of a request that it forwards.
struct ForwardedHeaderValues {
  std::string_view request_id;
  // Time left until the deadline, in milliseconds.
  std::int64_t deadline_ms = 0;
  // Hash of the key. Set for keyed services only.
  std::optional<std::uint64_t> hash;
  // Fencing token of the key's range. Sent only if `hash` is set.
  LogOffset token = 0;
  BodyFraming framing = BodyFraming::kNone;
  // In bytes; sent for kLength only.
  std::uint64_t body_length = 0;
};

// Appends the head of the request that is forwarded to a target: the caller's
// method, path and end-to-end headers, and `values`. The caller's own values of
// headers that the instance sets are not forwarded.
void AppendForwardedRequestHead(
    const boost::beast::http::request_header<>& request,
    const ForwardedHeaderValues& values,
    std::string& out);

// Appends the head of the response to a caller, made from the head of the
// target's response without hop-by-hop headers and Snipehall-Verdict.
// `body_length`, in bytes, is used for kLength only; for kNone the target's own
// Content-Length is kept, as in a response to HEAD.
void AppendResponseHead(const boost::beast::http::response_header<>& response,
                        BodyFraming framing,
                        std::uint64_t body_length,
                        bool keep_alive,
                        std::string& out);

}  // namespace snipehall
