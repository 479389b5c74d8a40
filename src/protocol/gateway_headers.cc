#include "protocol/gateway_headers.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>

#include "protocol/end_to_end_headers.h"

namespace snipehall {

namespace {

namespace http = boost::beast::http;

// Greatest time left that a caller may give; greater values are reduced to it.
constexpr std::int64_t kMaxTimeLeftMs = 600000;

// Upper bound of the attempts that a forwarded request may have left.
constexpr int kMaxAttemptsLeft = 100;

// Upper bound of each figure of a reported load.
constexpr int kMaxLoadFigure = 1'000'000;

// Greatest time of a Retry-After header that is used.
constexpr double kMaxPauseSeconds = 600;

boost::beast::string_view ToBeastView(std::string_view name) {
  return {name.data(), name.size()};
}

template <typename Number>
bool ParseNumber(std::string_view text, Number& value) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

// Parses "running,waiting,slots" or "running,waiting,slots,slowdown_percent".
// Returns nothing if the text is malformed.
std::optional<ReportedLoad> ParseLoad(std::string_view text) {
  constexpr std::size_t kRequired = 3;
  std::array<int, 4> numbers = {0, 0, 0, ReportedLoad().slowdown_percent};
  std::size_t count = 0;
  for (bool more = true; more; ++count) {
    const std::size_t comma = text.find(',');
    if (count == numbers.size() ||
        !ParseNumber(text.substr(0, comma), numbers[count]) ||
        numbers[count] < 0 || numbers[count] > kMaxLoadFigure) {
      return std::nullopt;
    }
    more = comma != std::string_view::npos;
    text.remove_prefix(more ? comma + 1 : text.size());
  }
  if (count < kRequired) {
    return std::nullopt;
  }
  return ReportedLoad{numbers[0] + numbers[1], numbers[2], numbers[1],
                      numbers[3]};
}

// Parses a non-negative decimal number. Returns nothing if the text is
// malformed.
std::optional<double> ParseDecimal(std::string_view text) {
  double rate = 0;
  if (!ParseNumber(text, rate) || !std::isfinite(rate) || rate < 0) {
    return std::nullopt;
  }
  return rate;
}

// Parses a number of seconds, which may have a fraction. Returns nothing if the
// text is malformed; a greater time than kMaxPauseSeconds counts as that.
std::optional<Milliseconds> ParseSeconds(std::string_view text) {
  const std::optional<double> seconds = ParseDecimal(text);
  if (!seconds) {
    return std::nullopt;
  }
  return std::chrono::ceil<Milliseconds>(
      std::chrono::duration<double>(std::min(*seconds, kMaxPauseSeconds)));
}

void AppendStatusLine(unsigned status,
                      std::string_view reason,
                      std::string& out) {
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  out.append(reason).append("\r\n");
}

}  // namespace

Result<GatewayRequestInfo> ParseGatewayRequest(
    const http::fields& fields,
    const GatewayHeaderNames& names) {
  GatewayRequestInfo info;
  for (const std::string_view name :
       {names.request_id, names.time_left, names.key}) {
    if (fields.count(ToBeastView(name)) > 1) {
      return Fail(ErrorCode::kInvalidArgument,
                  "repeated header " + std::string(name));
    }
  }
  info.request_id = ToStringView(fields[ToBeastView(names.request_id)]);
  const std::string_view time_left =
      ToStringView(fields[ToBeastView(names.time_left)]);
  if (!time_left.empty()) {
    std::int64_t value = 0;
    if (!ParseNumber(time_left, value) || value < 0) {
      return Fail(ErrorCode::kInvalidArgument,
                  "the time left is not a number of milliseconds");
    }
    info.time_left = Milliseconds(std::min(value, kMaxTimeLeftMs));
  }
  const std::string_view key = ToStringView(fields[ToBeastView(names.key)]);
  if (!key.empty()) {
    KeyNumber value = 0;
    if (!ParseNumber(key, value) || value > kLastKey) {
      return Fail(ErrorCode::kInvalidArgument, "the key is out of bounds");
    }
    info.key = value;
  }
  int attempts_left = 0;
  if (ParseNumber(ToStringView(fields[ToBeastView(names.attempts_left)]),
                  attempts_left) &&
      attempts_left >= 1 && attempts_left <= kMaxAttemptsLeft) {
    info.attempts_left = attempts_left;
  }
  return info;
}

namespace {

// Appends the head of a request that is sent on, with the field `name`.
void AppendRequest(const http::request_header<>& request,
                   const GatewayHeaderNames& names,
                   std::string_view name,
                   std::string_view value,
                   Milliseconds time_left,
                   std::uint64_t body_length,
                   std::string& out) {
  out.append(ToStringView(request.method_string())).append(" ");
  out.append(ToStringView(request.target())).append(" HTTP/1.1\r\n");
  AppendEndToEndFields(request, out, [&names](const auto& field) {
    const std::string_view field_name = ToStringView(field.name_string());
    return field.name() == http::field::content_length ||
           field.name() == http::field::expect ||
           EqualsIgnoringCase(field_name, names.time_left) ||
           EqualsIgnoringCase(field_name, names.expected_target) ||
           EqualsIgnoringCase(field_name, names.attempts_left);
  });
  AppendField(names.time_left, static_cast<std::uint64_t>(time_left.count()),
              out);
  AppendField(name, value, out);
  const bool may_have_body = request.method() != http::verb::get &&
                             request.method() != http::verb::head;
  if (body_length > 0 || may_have_body) {
    AppendField("Content-Length", body_length, out);
  }
  out.append("\r\n");
}

}  // namespace

void AppendTargetRequest(const http::request_header<>& request,
                         const GatewayHeaderNames& names,
                         std::string_view target,
                         Milliseconds time_left,
                         std::uint64_t body_length,
                         std::string& out) {
  AppendRequest(request, names, names.expected_target, target, time_left,
                body_length, out);
}

void AppendForwardedRequest(const http::request_header<>& request,
                            const GatewayHeaderNames& names,
                            int attempts_left,
                            Milliseconds time_left,
                            std::uint64_t body_length,
                            std::string& out) {
  AppendRequest(request, names, names.attempts_left,
                std::to_string(attempts_left), time_left, body_length, out);
}

TargetResponseInfo ParseTargetResponse(const http::response_header<>& response,
                                       const GatewayHeaderNames& names,
                                       std::string_view request_id) {
  TargetResponseInfo info;
  info.has_request_id = response.count(ToBeastView(names.request_id)) > 0;
  info.request_id_matches =
      ToStringView(response[ToBeastView(names.request_id)]) == request_id;
  info.has_signature = response.count(ToBeastView(names.signature)) > 0;
  info.not_run = response.count(ToBeastView(names.not_run)) > 0 ||
                 response.result() == http::status::misdirected_request;
  info.has_content_encoding = response.count(http::field::content_encoding) > 0;
  info.load = ParseLoad(ToStringView(response[ToBeastView(names.load)]));
  info.rate_limit =
      ParseDecimal(ToStringView(response[ToBeastView(names.rate_limit)]));
  // Another target may have the address by now.
  info.leaving = response.count(ToBeastView(names.leaving)) > 0 &&
                 response.result() != http::status::misdirected_request;
  info.target =
      std::string(ToStringView(response[ToBeastView(names.expected_target)]));
  if (response.result() == http::status::service_unavailable) {
    info.pause = ParseSeconds(ToStringView(response[http::field::retry_after]));
  }
  return info;
}

void AppendCallerResponse(const http::response_header<>& response,
                          std::uint64_t body_length,
                          bool has_body,
                          std::string_view dropped_name,
                          std::string& out) {
  AppendStatusLine(response.result_int(), ToStringView(response.reason()), out);
  AppendEndToEndFields(response, out, [&](const auto& field) {
    return (has_body && field.name() == http::field::content_length) ||
           EqualsIgnoringCase(ToStringView(field.name_string()), dropped_name);
  });
  if (has_body) {
    AppendField("Content-Length", body_length, out);
  }
}

void AppendHeadEnd(bool keep_alive, std::string& out) {
  if (!keep_alive) {
    AppendField("Connection", "close", out);
  }
  out.append("\r\n");
}

void AppendLocalResponse(int status,
                         Milliseconds retry_after,
                         bool keep_alive,
                         std::string_view more_fields,
                         std::string& out) {
  const auto code = static_cast<unsigned>(status);
  AppendStatusLine(
      code, ToStringView(http::obsolete_reason(http::int_to_status(code))),
      out);
  if (retry_after.count() > 0) {
    std::array<char, 32> seconds;
    std::snprintf(seconds.data(), seconds.size(), "%.2f",
                  std::chrono::duration<double>(retry_after).count());
    AppendField("Retry-After", std::string_view(seconds.data()), out);
  }
  AppendField("Content-Length", std::uint64_t{0}, out);
  out.append(more_fields);
  AppendHeadEnd(keep_alive, out);
}

}  // namespace snipehall
