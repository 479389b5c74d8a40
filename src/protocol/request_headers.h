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

// What the headers of a caller's request say; see docs/design.md, 4.1. The
// views point into the parsed head and live as long as it does.
struct RequestContext {
  std::string_view service;
  // Empty when the request has no key.
  std::string_view key;
  std::string_view tenant = "default";
  // Empty: the service's default class.
  std::string_view request_class;
  // Empty: the instance generates one.
  std::string_view request_id;
  bool repeatable = false;
  // Time allowed; without a value the class's default applies.
  std::optional<Milliseconds> time_allowed;
};

// Reads the context of a request with the given method and origin-form target.
// Fails with kInvalidArgument for a value out of bounds, a repeated
// Snipehall-* header, or a request that names no service.
Result<RequestContext> ParseRequestContext(
    const boost::beast::http::fields& fields,
    boost::beast::http::verb method,
    std::string_view target);

// How the body of a message is delimited.
enum class BodyFraming { kNone, kLength, kChunked };

// Values that the instance adds to a request that it forwards.
struct ForwardedValues {
  std::string_view request_id;
  // Time left, milliseconds.
  std::int64_t deadline_ms = 0;
  // Set for keyed services only.
  std::optional<std::uint64_t> hash;
  LogOffset token = 0;
  BodyFraming framing = BodyFraming::kNone;
  std::uint64_t body_length = 0;
};

// Appends the head of the request to a target: the caller's method, target and
// end-to-end headers. Hop-by-hop headers, and the caller's own values of what
// the instance sets, are left out.
void AppendForwardedHead(const boost::beast::http::request_header<>& request,
                         const ForwardedValues& values,
                         std::string& out);

// Appends the head of a target's answer as the caller gets it: without
// hop-by-hop headers and Snipehall-Verdict. `body_length` is used for kLength;
// for kNone the target's own Content-Length is kept, as in an answer to HEAD.
void AppendAnswerHead(const boost::beast::http::response_header<>& answer,
                      BodyFraming framing,
                      std::uint64_t body_length,
                      bool keep_alive,
                      std::string& out);

}  // namespace snipehall
