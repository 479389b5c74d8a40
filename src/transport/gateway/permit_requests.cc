#include "transport/gateway/permit_requests.h"

#include <utility>

namespace snipehall {

std::uint64_t PermitRequests::Add(MonotonicTime now, OnResponse on_response) {
  // Requests are numbered in the order in which they expire.
  while (!m_requests.empty() && now >= m_requests.begin()->second.expires_at) {
    m_requests.erase(m_requests.begin());
  }
  m_requests.emplace(++m_last_number,
                     Request{std::move(on_response), now + kResponseTimeout});
  return m_last_number;
}

void PermitRequests::Complete(const LeaderPermitResponse& response) {
  auto request = m_requests.extract(response.number);
  if (!request.empty()) {
    request.mapped().on_response(response);
  }
}

}  // namespace snipehall
