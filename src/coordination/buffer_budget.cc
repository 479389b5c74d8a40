#include "coordination/buffer_budget.h"

#include <algorithm>

namespace snipehall {

std::size_t BufferBudget::Share(std::size_t size) const {
  const std::size_t available =
      m_capacity - std::min(m_capacity, m_used) + size;
  const std::size_t calm_part = m_capacity / kCalmDivisor;
  const bool is_calm = m_used - size <= calm_part;
  const std::size_t share = available / kShareDivisor;
  return is_calm ? std::max(share, available - std::min(available, calm_part))
                 : share;
}

bool BufferBudget::Reservation::TryGrow(std::size_t bytes) {
  if (m_budget == nullptr) {
    return false;
  }
  // A message that is complete keeps what it has, also when its share is less
  // by now.
  if (bytes == 0) {
    return true;
  }
  const std::size_t share =
      std::max(m_guaranteed_bytes, m_budget->Share(m_size));
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
