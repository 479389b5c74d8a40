#include "coordination/relay_planner.h"

namespace snipehall {

std::string RelayPlanner::OnReport(MonotonicTime now,
                                   std::string_view zone,
                                   std::string_view address) {
  Reader& reader = m_readers[ZoneName(zone)];
  if (address.empty()) {
    return now < reader.seen + kLifetime ? reader.address : std::string();
  }
  if (reader.address.empty() || now >= reader.seen + kLifetime) {
    reader.address = address;
  }
  if (reader.address == address) {
    reader.seen = now;
  }
  return reader.address;
}

}  // namespace snipehall
