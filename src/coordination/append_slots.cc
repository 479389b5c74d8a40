#include "coordination/append_slots.h"

#include <iterator>

#include "state/hash_range.h"

namespace snipehall {

namespace {

// Time within which an append is expected to be visible to reads.
constexpr Milliseconds kAppendPatience{500};

}  // namespace

AppendSlots::AppendSlots(const InstanceId& self, Incarnation incarnation)
    : m_author("instance " + self),
      m_prefix(self + "-" + ToHex(incarnation) + "-") {}

bool AppendSlots::IsFree(std::string_view slot) const {
  return m_outstanding.find(slot) == m_outstanding.end();
}

void AppendSlots::OnRead(std::string_view id) {
  std::erase_if(m_outstanding,
                [&](const auto& entry) { return entry.second.id == id; });
}

void AppendSlots::OnVersionChange(std::string_view slot) {
  const auto found = m_outstanding.find(slot);
  if (found != m_outstanding.end()) {
    m_outstanding.erase(found);
  }
}

void AppendSlots::OnCompleteRead(MonotonicTime began) {
  std::erase_if(m_outstanding, [&](const auto& entry) {
    return began - entry.second.sent >= kAppendPatience;
  });
}

std::string AppendSlots::NextId() {
  return m_prefix + std::to_string(++m_count);
}

}  // namespace snipehall
