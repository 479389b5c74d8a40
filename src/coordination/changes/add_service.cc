#include "coordination/changes/add_service.h"

#include "coordination/changes/change_error.h"

namespace snipehall {

Result<void> AddService::Apply(Configuration& draft) {
  if (draft.FindService(m_service.name) != nullptr) {
    return ChangeError("the service exists already", "/name", m_service.name,
                       "a new name");
  }
  draft.services.push_back(m_service);
  ServiceConfig& added = draft.services.back();
  if (added.keyed && added.key_ranges.empty()) {
    added.key_ranges = EqualKeyRanges(draft.zones);
  }
  return boost::outcome_v2::success();
}

void AddService::Undo(Configuration& draft) {
  draft.services.pop_back();
}

std::string AddService::Describe() const {
  return std::string("add ") + (m_service.keyed ? "keyed " : "") + "service " +
         m_service.name;
}

}  // namespace snipehall
