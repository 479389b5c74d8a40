#include "transport/admin/admin_access.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <fstream>
#include <random>

#include "state/hash_range.h"

namespace snipehall {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kMinTokenBytes = 16;
constexpr std::size_t kMaxTokenBytes = 4096;
constexpr std::string_view kSessionCookiePrefix = "snipehall_session=";

std::string_view HeaderValue(const AdminRequest& request, http::field name) {
  const auto value = request[name];
  return {value.data(), value.size()};
}

// Returns the host of a Host header without its port and IPv6 brackets.
std::string_view HostWithoutPort(std::string_view field) {
  if (field.starts_with('[')) {
    return field.substr(1, field.find(']') - 1);
  }
  return field.substr(0, field.find(':'));
}

std::string_view SessionCookie(const AdminRequest& request) {
  std::string_view rest = HeaderValue(request, http::field::cookie);
  while (!rest.empty()) {
    const std::size_t end = rest.find(';');
    std::string_view cookie = rest.substr(0, end);
    while (cookie.starts_with(' ')) {
      cookie.remove_prefix(1);
    }
    if (cookie.starts_with(kSessionCookiePrefix)) {
      return cookie.substr(kSessionCookiePrefix.size());
    }
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return {};
}

}  // namespace

bool EqualInConstantTime(std::string_view left, std::string_view right) {
  // `volatile` prevents the compiler from optimizing to an early exit.
  volatile unsigned char difference = left.size() == right.size() ? 0 : 1;
  for (std::size_t i = 0; i < left.size(); ++i) {
    const char other = right.empty() ? '\0' : right[i % right.size()];
    difference = static_cast<unsigned char>(difference | (left[i] ^ other));
  }
  return difference == 0;
}

std::string GenerateRandomId() {
  std::random_device device;
  std::string secret;
  for (int i = 0; i < 2; ++i) {
    const std::uint64_t high = device();
    secret += ToHex(high << 32 | device());
  }
  return secret;
}

Result<std::string> LoadToken(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  std::string token(kMaxTokenBytes + 2, '\0');
  stream.read(token.data(), static_cast<std::streamsize>(token.size()));
  if (!stream.is_open() || stream.bad()) {
    return Fail(ErrorCode::kNotFound, "cannot read the token file " + file);
  }
  token.resize(static_cast<std::size_t>(stream.gcount()));
  if (token.ends_with('\n')) {
    token.pop_back();
  }
  const bool has_no_whitespace = token.find_first_of(std::string_view(
                                     "\r\n\t \0", 5)) == std::string::npos;
  if (token.size() < kMinTokenBytes || token.size() > kMaxTokenBytes ||
      !has_no_whitespace) {
    return Fail(ErrorCode::kInvalidArgument,
                "the token file " + file +
                    " must hold one line of 16 to 4096 bytes without spaces");
  }
  return token;
}

AdminAccess::AdminAccess(std::string token)
    : m_token(std::move(token)),
      m_shared_session{"", GenerateRandomId(), MonotonicTime::max()} {}

std::optional<AdminResponse> AdminAccess::CheckApiRequest(
    const AdminRequest& request) const {
  if (!IsHostAllowed(request)) {
    return MakeErrorResponse(
        http::status::forbidden,
        {ErrorCode::kRefused, "host is not allowed without a token", "",
         std::string(HeaderValue(request, http::field::host)),
         "an IP number or localhost"});
  }
  if (needs_token()) {
    constexpr std::string_view kScheme = "Bearer ";
    const std::string_view field =
        HeaderValue(request, http::field::authorization);
    if (!field.starts_with(kScheme) ||
        !EqualInConstantTime(field.substr(kScheme.size()), m_token)) {
      AdminResponse response =
          MakeErrorResponse(http::status::unauthorized,
                            {ErrorCode::kRefused, "missing or wrong token", "",
                             "", "Authorization: Bearer TOKEN"});
      response.set(http::field::www_authenticate, "Bearer");
      return response;
    }
  }
  if (request.method() == http::verb::post &&
      !HasContentType(request, "application/json")) {
    return MakeErrorResponse(
        http::status::unsupported_media_type,
        {ErrorCode::kInvalidArgument, "wrong content type", "",
         std::string(HeaderValue(request, http::field::content_type)),
         "application/json"});
  }
  return std::nullopt;
}

bool AdminAccess::IsHostAllowed(const AdminRequest& request) const {
  if (needs_token()) {
    return true;
  }
  const std::string_view host =
      HostWithoutPort(HeaderValue(request, http::field::host));
  boost::system::error_code error;
  boost::asio::ip::make_address(host, error);
  return !error || host == "localhost";
}

const AdminAccess::Session* AdminAccess::LogIn(std::string_view token,
                                               MonotonicTime now) {
  if (!needs_token()) {
    return &m_shared_session;
  }
  if (!EqualInConstantTime(token, m_token)) {
    return nullptr;
  }
  if (m_sessions.size() >= kMaxSessions) {
    m_sessions.pop_front();
  }
  m_sessions.push_back(
      {GenerateRandomId(), GenerateRandomId(), now + kSessionLifetime});
  return &m_sessions.back();
}

const AdminAccess::Session* AdminAccess::FindSession(
    const AdminRequest& request,
    MonotonicTime now) {
  if (!needs_token()) {
    return &m_shared_session;
  }
  const std::string_view id = SessionCookie(request);
  for (const Session& session : m_sessions) {
    if (EqualInConstantTime(id, session.id)) {
      return now < session.expires_at ? &session : nullptr;
    }
  }
  return nullptr;
}

}  // namespace snipehall
