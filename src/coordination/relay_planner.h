#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

#include "state/types.h"

namespace snipehall {

// Chooses for each availability zone the instance that reads the log and relays
// it to the others of the zone: one with a fast link, since it sends every
// record to all of them. The leader uses it for all zones, with the reports
// that it receives.
class RelayPlanner {
 public:
  // A relay that has not reported for this long is replaced. Long enough for
  // two lost reports.
  static constexpr Milliseconds kRelayTimeout{1000};

  // Factor by which a link must be faster than another one to count as much
  // faster.
  static constexpr LinkRate kMuchFasterFactor = 2;

  static bool IsMuchFaster(LinkRate link, LinkRate other) {
    return link >= kMuchFasterFactor * std::max<LinkRate>(other, 1);
  }

  // Call for each report of an instance. `address` is where it serves reads of
  // the log, empty when it has no new records to relay; `link` is its rate in
  // Mbit/s. Returns the address of the zone's relay, or an empty string when
  // there is none. The relay stays the same while it reports, unless another
  // instance's link is much faster.
  std::string OnReport(MonotonicTime now,
                       std::string_view zone,
                       std::string_view address,
                       LinkRate link);

  // Rate of the fastest link of all instances that have reported, Mbit/s.
  LinkRate fastest_link() const { return m_fastest_link; }

 private:
  struct Relay {
    std::string address;
    LinkRate link = 0;
    MonotonicTime reported_at;
  };

  std::map<ZoneName, Relay, std::less<>> m_relays;
  LinkRate m_fastest_link = 0;
};

}  // namespace snipehall
