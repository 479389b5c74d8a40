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
// tokens and the IDs of log records.
std::string GenerateRandomId();

// Reads the administration token from a file with one line of 16 to 4096 bytes
// without white space; a newline at its end is optional. Fails with kNotFound
// when the file cannot be read, and with kInvalidArgument when its content is
// malformed.
Result<std::string> LoadToken(const std::string& file);

// Authenticates requests to the administration API and the console.
//
// API requests carry the administration token as "Authorization: Bearer TOKEN".
// In the console, the user enters it in a login form and gets a session cookie.
// Each form of the console carries the CSRF token of the session, which the
// console checks, also when no administration token is configured.
//
// Without an administration token there is no login, but the Host header of
// each request must be an IP address or "localhost". This prevents DNS
// rebinding, where a web page resolves a host name of its own site to the
// address of this listener and so gets its responses.
class AdminAccess {
 public:
  // Maximum number of sessions. A login beyond it ends the oldest session.
  static constexpr std::size_t kMaxSessions = 32;
  // Time after the login when a session expires, even if it is used.
  static constexpr std::chrono::hours kSessionLifetime{8};

  struct Session {
    // Value of the session cookie.
    std::string id;
    // Required in the hidden field "csrf" of each form; see Console.
    std::string csrf_token;
    MonotonicTime expires_at;
  };

  // An empty administration token disables authentication.
  explicit AdminAccess(std::string token);

  bool needs_token() const { return !m_token.empty(); }

  // Checks an API request: IsHostAllowed(), the administration token if one is
  // configured, and for POST the Content-Type application/json. Returns the
  // error response, or nullopt when the request is allowed.
  std::optional<AdminResponse> CheckApiRequest(
      const AdminRequest& request) const;

  // Returns whether the Host header is allowed; always true when an
  // administration token is configured. Console requests must pass it too.
  bool IsHostAllowed(const AdminRequest& request) const;

  // Starts a session, or returns null for a wrong administration token. The
  // pointer is valid until the next call of LogIn().
  const Session* LogIn(std::string_view token, MonotonicTime now);

  // Returns the session whose ID is in the request's cookie, or null when there
  // is none or it has expired. When no administration token is configured, all
  // clients share one session that never expires. The pointer is valid until
  // the next call of LogIn().
  const Session* FindSession(const AdminRequest& request, MonotonicTime now);

 private:
  std::string m_token;
  Session m_shared_session;
  std::deque<Session> m_sessions;
};

}  // namespace snipehall
