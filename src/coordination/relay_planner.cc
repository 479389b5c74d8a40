#include "coordination/relay_planner.h"

#include <algorithm>

namespace snipehall {

std::string RelayPlanner::OnReport(MonotonicTime now,
                                   std::string_view zone,
                                   std::string_view address,
                                   LinkRate link) {
  m_fastest_link = std::max(m_fastest_link, link);
  Relay& relay = m_relays[ZoneName(zone)];
  if (address.empty()) {
    return now < relay.reported_at + kRelayTimeout ? relay.address
                                                   : std::string();
  }
  if (relay.address.empty() || now >= relay.reported_at + kRelayTimeout ||
      IsMuchFaster(link, relay.link)) {
    relay.address = address;
    relay.link = link;
  }
  if (relay.address == address) {
    relay.reported_at = now;
  }
  return relay.address;
}

}  // namespace snipehall
