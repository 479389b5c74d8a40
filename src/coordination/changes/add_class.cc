#include "coordination/changes/add_class.h"

#include "coordination/changes/change_error.h"
#include "coordination/changes/draft_lookup.h"

namespace snipehall {

Result<void> AddClass::Apply(Configuration& draft) {
  ServiceConfig* service = FindDraftService(draft, m_service);
  if (service == nullptr) {
    return ChangeError("unknown service", "/service", m_service,
                       "a service of the draft");
  }
  if (service->FindClass(m_class.name) != nullptr) {
    return ChangeError("the class exists already", "/name", m_class.name,
                       "a new name");
  }
  service->classes.push_back(m_class);
  return boost::outcome_v2::success();
}

void AddClass::Undo(Configuration& draft) {
  FindDraftService(draft, m_service)->classes.pop_back();
}

std::string AddClass::Describe() const {
  return "add class " + m_class.name + " to " + m_service;
}

}  // namespace snipehall
