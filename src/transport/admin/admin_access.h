#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "state/types.h"
#include "transport/admin/admin_http.h"

namespace snipehall {

// Compares in a time that depends on the lengths only.
bool EqualInConstantTime(std::string_view left, std::string_view right);

// 128 random bits as 32 hexadecimal digits.
std::string DrawSecret();

// Reads a token file: one line of 16 to 4096 bytes. Fails with kNotFound or
// kInvalidArgument.
Result<std::string> LoadToken(const std::string& file);

// Decides who may use the administration API and the console.
//
// The API takes the token as "Authorization: Bearer TOKEN". The console takes
// it once in a form and answers with a session cookie; each of its forms
// carries the session's CSRF token. Without a token everything is allowed, but
// only under a Host that is an IP number or "localhost", so that a page of
// another site cannot reach the listener under a name of its own.
class AdminAccess {
 public:
  // Sessions kept at the same time; the oldest one ends for a new one.
  static constexpr std::size_t kSessionLimit = 32;
  static constexpr std::chrono::hours kSessionLength{8};

  struct Session {
    std::string id;
    std::string csrf_token;
    MonotonicTime deadline;
  };

  // An empty token means that none is needed.
  explicit AdminAccess(std::string token);

  bool needs_token() const { return !m_token.empty(); }

  // The error with its status to answer a request of the API with.
  std::optional<AdminResponse> CheckApi(const AdminRequest& request) const;

  // Whether the Host header is acceptable.
  bool IsHostAllowed(const AdminRequest& request) const;

  // Starts a session, or returns null for a wrong token.
  const Session* LogIn(std::string_view token, MonotonicTime now);

  // The session of the request's cookie, or null. Without a token there is one
  // session for all.
  const Session* FindSession(const AdminRequest& request, MonotonicTime now);

 private:
  std::string m_token;
  Session m_open_session;
  std::deque<Session> m_sessions;
};

}  // namespace snipehall
