#include "coordination/changes/split_key_range.h"

#include "coordination/changes/change_error.h"
#include "coordination/changes/draft_lookup.h"

namespace snipehall {

Result<void> SplitKeyRange::Apply(Configuration& draft) {
  ServiceConfig* service = FindDraftService(draft, m_service);
  if (service == nullptr || !service->keyed) {
    return ChangeError("not a keyed service", "/service", m_service,
                       "a keyed service of the draft");
  }
  if (!draft.HasZone(m_zone)) {
    return ChangeError("unknown zone", "/zone", m_zone, "a zone of the draft");
  }
  std::vector<KeyRangeConfig>& ranges = service->key_ranges;
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    const HashRange whole = ranges[i].range;
    if (whole.Contains(m_hash) && whole.first != m_hash) {
      ranges[i].range.last = m_hash - 1;
      ranges.insert(ranges.begin() + static_cast<std::ptrdiff_t>(i) + 1,
                    {{m_hash, whole.last}, m_zone});
      m_index = i;
      return boost::outcome_v2::success();
    }
  }
  return ChangeError("no range can be split there", "/at", ToHex(m_hash),
                     "a hash inside a range, not its first");
}

void SplitKeyRange::Undo(Configuration& draft) {
  std::vector<KeyRangeConfig>& ranges =
      FindDraftService(draft, m_service)->key_ranges;
  const auto second = ranges.begin() + static_cast<std::ptrdiff_t>(m_index) + 1;
  ranges[m_index].range.last = second->range.last;
  ranges.erase(second);
}

std::string SplitKeyRange::Describe() const {
  return "split " + m_service + " at " + ToHex(m_hash) +
         ", second part to zone " + m_zone;
}

}  // namespace snipehall
