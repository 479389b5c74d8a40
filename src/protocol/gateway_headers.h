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

// Names of the headers with which callers and targets speak to a gateway. A
// deployment may have its own; those here are the project's.
struct GatewayHeaderNames {
  // Identifies a request; callers choose it and targets return it.
  std::string_view request_id = "Snipehall-Request-Id";
  // Time left for the answer, milliseconds.
  std::string_view time_left = "Snipehall-Deadline-Ms";
  // The key of a request for a keyed service.
  std::string_view key = "Snipehall-Key";
  // The target that is to run the request; any other one refuses it.
  std::string_view expected_target = "Snipehall-Target";
  // A target's proof that the answer is its own.
  std::string_view signature = "Snipehall-Signature";
  // A target's statement that it has not run the request.
  std::string_view not_run = "Snipehall-Not-Run";
  // A target's running requests, waiting requests and slots, with commas.
  std::string_view load = "Snipehall-Load";
};

// What the headers of a caller's request say. The view points into the parsed
// head and lives as long as it does.
struct GatewayRequestInfo {
  std::string_view request_id;
  std::optional<Milliseconds> time_left;
  std::optional<KeyNumber> key;
};

// Fails with kInvalidArgument when a header is repeated or out of bounds.
Result<GatewayRequestInfo> ParseGatewayRequest(
    const boost::beast::http::fields& fields,
    const GatewayHeaderNames& names);

// Appends the head of a request to a target.
void AppendTargetRequest(const boost::beast::http::request_header<>& request,
                         const GatewayHeaderNames& names,
                         std::string_view target,
                         Milliseconds time_left,
                         std::uint64_t body_length,
                         std::string& out);

// What the head of a target's answer says.
struct TargetAnswerInfo {
  // The answer is to the request with the given id.
  bool matches = false;
  bool has_signature = false;
  bool not_run = false;
  // The body was encoded, which no caller asks for.
  bool encoded = false;
  std::optional<ReportedLoad> load;
};

TargetAnswerInfo ReadTargetAnswer(
    const boost::beast::http::response_header<>& answer,
    const GatewayHeaderNames& names,
    std::string_view request_id);

// Appends the head of a target's whole answer as the caller gets it.
void AppendCallerAnswer(const boost::beast::http::response_header<>& answer,
                        std::uint64_t body_length,
                        bool has_body,
                        bool keep_alive,
                        std::string& out);

// Appends an answer of the gateway's own. A `retry_after` of zero is left out.
void AppendOwnAnswer(int status,
                     Milliseconds retry_after,
                     bool keep_alive,
                     std::string& out);

}  // namespace snipehall
