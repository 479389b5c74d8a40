#include "coordination/relay_planner.h"

#include <algorithm>

namespace snipehall {

std::string RelayPlanner::OnReport(MonotonicTime now,
                                   std::string_view zone,
                                   std::string_view address,
                                   LinkRate link) {
  m_fastest_link = std::max(m_fastest_link, link);
  Reader& reader = m_readers[ZoneName(zone)];
  if (address.empty()) {
    return now < reader.reported_at + kReaderTimeout ? reader.address
                                                     : std::string();
  }
  if (reader.address.empty() || now >= reader.reported_at + kReaderTimeout ||
      IsMuchFaster(link, reader.link)) {
    reader.address = address;
    reader.link = link;
  }
  if (reader.address == address) {
    reader.reported_at = now;
  }
  return reader.address;
}

}  // namespace snipehall
