#pragma once

#include <memory>
#include <vector>

#include "standins/common/http_server.h"

namespace snipehall::standin {

// Simulates an outage of a platform service. In mode "refuse" each request's
// connection is closed without an answer; in mode "hang" it is held without an
// answer until the outage ends, and closed then.
class Outage {
 public:
  // Returns true when the outage has taken the request.
  bool Take(const std::shared_ptr<HttpSession>& session);

  // Sets the outage from {"on": bool, "mode": "refuse"|"hang"}; the mode is
  // "refuse" when it is missing. Answers the request.
  void Set(const std::shared_ptr<HttpSession>& session);

  bool on() const { return m_on; }

 private:
  bool m_on = false;
  bool m_hang = false;
  std::vector<std::shared_ptr<HttpSession>> m_held;
};

}  // namespace snipehall::standin
