#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "state/types.h"
#include "transport/admin/admin_http.h"

namespace snipehall {

// Returns whether both texts are equal. The running time depends only on their
// lengths, so that a client cannot guess a secret byte by byte from response
// times.
bool EqualInConstantTime(std::string_view left, std::string_view right);

// Returns 128 random bits as 32 hexadecimal digits. Used for session IDs, CSRF
// tokens and record IDs.
std::string GenerateRandomId();

// Reads the administration token from a file with one line of 16 to 4096 bytes
// without white space. Fails with kNotFound when the file cannot be read, and
// with kInvalidArgument when its content is malformed.
Result<std::string> LoadToken(const std::string& file);

// Authenticates requests to the administration API and the console.
//
// API requests carry the token as "Authorization: Bearer TOKEN". The console
// accepts the token once in a login form and sets a session cookie; each of its
// forms carries the CSRF token of the session. When no token is configured,
// every request is allowed whose Host header is an IP address or "localhost".
// The restriction prevents DNS rebinding: a page of another site cannot reach
// the listener under a host name that the site controls.
class AdminAccess {
 public:
  // Maximum number of concurrent sessions; a new one replaces the oldest.
  static constexpr std::size_t kMaxSessions = 32;
  // Time after the login when a session expires, even if it is used.
  static constexpr std::chrono::hours kSessionLifetime{8};

  struct Session {
    // Value of the session cookie.
    std::string id;
    // Required in the hidden field "csrf" of each form.
    std::string csrf_token;
    MonotonicTime expires_at;
  };

  // An empty token disables authentication.
  explicit AdminAccess(std::string token);

  bool needs_token() const { return !m_token.empty(); }

  // Checks the Host header, the token and the Content-Type of an API request.
  // Returns the error response, or nullopt when the request is allowed.
  std::optional<AdminResponse> CheckApiRequest(
      const AdminRequest& request) const;

  // Returns whether the Host header is allowed; always true with a token.
  bool IsHostAllowed(const AdminRequest& request) const;

  // Starts a session, or returns null for a wrong token. The session stays
  // valid until the next call.
  const Session* LogIn(std::string_view token, MonotonicTime now);

  // Returns the session that the request's cookie names, or null when there is
  // none or it has expired. Without a token all clients share one session. The
  // session stays valid until the next call of LogIn().
  const Session* FindSession(const AdminRequest& request, MonotonicTime now);

 private:
  std::string m_token;
  Session m_shared_session;
  std::deque<Session> m_sessions;
};

}  // namespace snipehall
