#pragma once

#include <memory>
#include <vector>

#include "standins/common/http_server.h"

namespace snipehall::standin {

// Simulates an outage of a platform service. In mode "refuse" the connection of
// each request is closed without a response. In mode "hang" the connection
// stays open without a response and is closed when the outage is switched
// again.
class Outage {
 public:
  // Returns whether an outage is in progress and the request has been handled
  // by it. The caller must not answer the request in that case.
  bool Intercept(const std::shared_ptr<HttpSession>& session);

  // Handles a request that switches the outage, and answers it. Its body is
  // {"on": bool, "mode": "refuse"|"hang"}; the mode defaults to "refuse".
  void HandleControl(const std::shared_ptr<HttpSession>& session);

  // Whether an outage is in progress.
  bool on() const { return m_on; }

 private:
  bool m_on = false;
  bool m_hang = false;
  std::vector<std::shared_ptr<HttpSession>> m_held_sessions;
};

}  // namespace snipehall::standin
