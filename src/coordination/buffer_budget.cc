#include "coordination/buffer_budget.h"

#include <algorithm>

namespace snipehall {

bool BufferBudget::Reservation::TryGrow(std::size_t bytes) {
  if (m_budget == nullptr) {
    return false;
  }
  const std::size_t free =
      m_budget->m_capacity - std::min(m_budget->m_capacity, m_budget->m_used);
  const std::size_t share =
      std::max(kGuaranteedBytes, (free + m_size) / kShareDivisor);
  if (bytes > share || m_size > share - bytes) {
    return false;
  }
  m_size += bytes;
  m_budget->m_used += bytes;
  return true;
}

void BufferBudget::Reservation::Clear() {
  if (m_budget != nullptr) {
    m_budget->m_used -= m_size;
    m_size = 0;
  }
}

}  // namespace snipehall
