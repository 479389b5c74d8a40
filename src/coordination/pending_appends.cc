#include "coordination/pending_appends.h"

#include <iterator>

#include "state/hash_range.h"

namespace snipehall {

namespace {

// Time after which an append must be visible to reads; otherwise it counts as
// lost.
constexpr Milliseconds kAppendVisibilityTimeout{500};

}  // namespace

PendingAppends::PendingAppends(const InstanceId& self, Incarnation incarnation)
    : m_author("instance " + self),
      m_prefix(self + "-" + ToHex(incarnation) + "-") {}

bool PendingAppends::IsFree(std::string_view subject) const {
  return m_outstanding.find(subject) == m_outstanding.end();
}

void PendingAppends::OnRead(std::string_view id) {
  std::erase_if(m_outstanding,
                [&](const auto& entry) { return entry.second.id == id; });
}

void PendingAppends::OnVersionChange(std::string_view subject) {
  const auto found = m_outstanding.find(subject);
  if (found != m_outstanding.end()) {
    m_outstanding.erase(found);
  }
}

void PendingAppends::OnCompleteRead(MonotonicTime began) {
  std::erase_if(m_outstanding, [&](const auto& entry) {
    return began - entry.second.sent >= kAppendVisibilityTimeout;
  });
}

std::string PendingAppends::NextId() {
  return m_prefix + std::to_string(++m_count);
}

}  // namespace snipehall
