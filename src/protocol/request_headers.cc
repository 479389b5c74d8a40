#include "protocol/request_headers.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "protocol/end_to_end_headers.h"
#include "protocol/target_protocol.h"
#include "state/hash_range.h"

namespace snipehall {

namespace {

namespace http = boost::beast::http;

// Limits of the values of headers. Names are those of services, tenants and
// classes.
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxKeyBytes = 512;
constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::int64_t kMaxDeadlineMs = 600000;
constexpr std::string_view kPrefix = "Snipehall-";

bool IsSnipehallHeader(const http::fields::value_type& field) {
  return field.name() == http::field::unknown &&
         field.name_string().size() > kPrefix.size() &&
         EqualsIgnoringCase(
             ToStringView(field.name_string()).substr(0, kPrefix.size()),
             kPrefix);
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool IsValidName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsValidKey(std::string_view text) {
  return !text.empty() && text.size() <= kMaxKeyBytes;
}

bool IsValidRequestId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxRequestIdBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

// Returns the path segment between the first and the second '/'.
std::string_view FirstSegment(std::string_view target) {
  if (target.empty() || target.front() != '/') {
    return {};
  }
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?#"));
}

// The functions below set a value of `context` from a header. They return
// whether it is valid.
bool ParseDeadline(std::string_view text, RequestContext& context) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < 1 ||
      value > kMaxDeadlineMs) {
    return false;
  }
  context.timeout = Milliseconds(value);
  return true;
}

bool ParseRepeatable(std::string_view text, RequestContext& context) {
  context.idempotent = text == "yes";
  return text == "yes" || text == "no";
}

template <bool (*IsValidText)(std::string_view),
          std::string_view RequestContext::*Member>
bool ParseText(std::string_view text, RequestContext& context) {
  context.*Member = text;
  return IsValidText(text);
}

// How to parse a header of a caller's request.
struct HeaderRule {
  std::string_view name;
  bool (*parse)(std::string_view, RequestContext&);
};

constexpr std::array<HeaderRule, 7> kHeaderRules = {{
    {kServiceHeader, ParseText<IsValidName, &RequestContext::service>},
    {kKeyHeader, ParseText<IsValidKey, &RequestContext::key>},
    {kTenantHeader, ParseText<IsValidName, &RequestContext::tenant>},
    {kClassHeader, ParseText<IsValidName, &RequestContext::request_class>},
    {kRequestIdHeader,
     ParseText<IsValidRequestId, &RequestContext::request_id>},
    {kRepeatableHeader, ParseRepeatable},
    {kDeadlineHeader, ParseDeadline},
}};

// Headers that are not copied from the caller's request: the instance sets them
// itself, or no caller may set them.
bool IsReserved(std::string_view name) {
  return EqualsIgnoringCase(name, kHashHeader) ||
         EqualsIgnoringCase(name, kTokenHeader) ||
         EqualsIgnoringCase(name, kVerdictHeader) ||
         EqualsIgnoringCase(name, kRequestIdHeader) ||
         EqualsIgnoringCase(name, kDeadlineHeader);
}

}  // namespace

Result<RequestContext> ParseRequestContext(const http::fields& fields,
                                           http::verb method,
                                           std::string_view target) {
  RequestContext context;
  context.idempotent = method == http::verb::get || method == http::verb::head;
  unsigned seen = 0;
  for (const auto& field : fields) {
    if (!IsSnipehallHeader(field)) {
      continue;
    }
    const std::string_view name = ToStringView(field.name_string());
    for (std::size_t i = 0; i < kHeaderRules.size(); ++i) {
      if (!EqualsIgnoringCase(name, kHeaderRules[i].name)) {
        continue;
      }
      if ((seen & (1U << i)) != 0 ||
          !kHeaderRules[i].parse(ToStringView(field.value()), context)) {
        return Fail(ErrorCode::kInvalidArgument,
                    "invalid or repeated header " + std::string(name));
      }
      seen |= 1U << i;
    }
  }
  if (context.service.empty()) {
    context.service = FirstSegment(target);
    if (!IsValidName(context.service)) {
      return Fail(ErrorCode::kInvalidArgument, "the request names no service");
    }
  }
  return context;
}

void AppendForwardedRequestHead(const http::request_header<>& request,
                                const ForwardedHeaderValues& values,
                                std::string& out) {
  out.append(ToStringView(request.method_string())).append(" ");
  out.append(ToStringView(request.target())).append(" HTTP/1.1\r\n");
  AppendEndToEndFields(request, out, [](const auto& field) {
    return field.name() == http::field::content_length ||
           field.name() == http::field::expect ||
           (IsSnipehallHeader(field) &&
            IsReserved(ToStringView(field.name_string())));
  });
  AppendField(kRequestIdHeader, values.request_id, out);
  AppendField(kDeadlineHeader, static_cast<std::uint64_t>(values.deadline_ms),
              out);
  if (values.hash) {
    AppendField(kHashHeader, ToHex(*values.hash), out);
    AppendField(kTokenHeader, values.token, out);
  }
  if (values.framing == BodyFraming::kLength) {
    AppendField("Content-Length", values.body_length, out);
  } else if (values.framing == BodyFraming::kChunked) {
    AppendField("Transfer-Encoding", "chunked", out);
  }
  out.append("\r\n");
}

void AppendResponseHead(const http::response_header<>& response,
                        BodyFraming framing,
                        std::uint64_t body_length,
                        bool keep_alive,
                        std::string& out) {
  std::array<char, 8> status;
  const auto end = std::to_chars(status.data(), status.data() + status.size(),
                                 response.result_int())
                       .ptr;
  out.append("HTTP/1.1 ").append(status.data(), end).append(" ");
  out.append(ToStringView(response.reason())).append("\r\n");
  AppendEndToEndFields(response, out, [framing](const auto& field) {
    return (framing != BodyFraming::kNone &&
            field.name() == http::field::content_length) ||
           (IsSnipehallHeader(field) &&
            EqualsIgnoringCase(ToStringView(field.name_string()),
                               kVerdictHeader));
  });
  if (framing == BodyFraming::kLength) {
    AppendField("Content-Length", body_length, out);
  } else if (framing == BodyFraming::kChunked) {
    AppendField("Transfer-Encoding", "chunked", out);
  }
  if (!keep_alive) {
    AppendField("Connection", "close", out);
  }
  out.append("\r\n");
}

}  // namespace snipehall
