#include "coordination/changes/add_zone.h"

#include "coordination/changes/change_error.h"

namespace snipehall {

Result<void> AddZone::Apply(Configuration& draft) {
  if (draft.HasZone(m_zone.name)) {
    return ChangeError("the zone exists already", "/name", m_zone.name,
                       "a new name");
  }
  draft.zones.push_back(m_zone);
  return boost::outcome_v2::success();
}

void AddZone::Undo(Configuration& draft) {
  draft.zones.pop_back();
}

std::string AddZone::Describe() const {
  return "add zone " + m_zone.name + " in region " + m_zone.region;
}

}  // namespace snipehall
