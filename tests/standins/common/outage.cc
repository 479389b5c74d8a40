#include "standins/common/outage.h"

#include <optional>
#include <string>

#include "protocol/json_fields.h"
#include "standins/common/test_control.h"

namespace snipehall::standin {

bool Outage::Intercept(const std::shared_ptr<HttpSession>& session) {
  if (!m_on) {
    return false;
  }
  if (m_hang) {
    m_held_sessions.push_back(session);
  } else {
    session->Abort();
  }
  return true;
}

void Outage::HandleControl(const std::shared_ptr<HttpSession>& session) {
  ApplyControl(session, [this](JsonFields& fields) {
    const bool on = fields.Boolean("on");
    const std::string mode =
        fields.Has("mode") ? fields.String("mode") : "refuse";
    if (mode != "refuse" && mode != "hang") {
      fields.Reject("mode", "\"refuse\" or \"hang\"");
    }
    return [this, on, mode] {
      m_on = on;
      m_hang = mode == "hang";
      for (const auto& held : m_held_sessions) {
        held->Abort();
      }
      m_held_sessions.clear();
    };
  });
}

}  // namespace snipehall::standin
