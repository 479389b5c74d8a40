#include "coordination/changes/add_key_range.h"

#include <algorithm>

#include "coordination/changes/change_error.h"
#include "coordination/changes/draft_lookup.h"

namespace snipehall {

Result<void> AddKeyRange::Apply(Configuration& draft) {
  ServiceConfig* service = FindDraftService(draft, m_service);
  if (service == nullptr || !service->keyed) {
    return ChangeError("not a keyed service", "/service", m_service,
                       "a keyed service of the draft");
  }
  if (!draft.HasZone(m_range.zone)) {
    return ChangeError("unknown zone", "/zone", m_range.zone,
                       "a zone of the draft");
  }
  const HashRange& added = m_range.range;
  if (added.first > added.last) {
    return ChangeError("the range ends before it begins", "/last",
                       ToHex(added.last), "at least " + ToHex(added.first));
  }
  std::vector<KeyRangeConfig> ranges = {m_range};
  for (const KeyRangeConfig& entry : service->key_ranges) {
    if (!entry.range.Overlaps(added)) {
      ranges.push_back(entry);
      continue;
    }
    if (entry.range.first < added.first) {
      ranges.push_back({{entry.range.first, added.first - 1}, entry.zone});
    }
    if (entry.range.last > added.last) {
      ranges.push_back({{added.last + 1, entry.range.last}, entry.zone});
    }
  }
  std::sort(ranges.begin(), ranges.end(),
            [](const KeyRangeConfig& left, const KeyRangeConfig& right) {
              return left.range.first < right.range.first;
            });
  m_previous = std::exchange(service->key_ranges, std::move(ranges));
  return boost::outcome_v2::success();
}

void AddKeyRange::Undo(Configuration& draft) {
  FindDraftService(draft, m_service)->key_ranges = std::move(m_previous);
}

std::string AddKeyRange::Describe() const {
  return "give " + ToHex(m_range.range.first) + " to " +
         ToHex(m_range.range.last) + " of " + m_service + " to zone " +
         m_range.zone;
}

}  // namespace snipehall
