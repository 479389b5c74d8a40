#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

#include "state/types.h"

namespace snipehall {

// Chooses one instance of each availability zone that reads the log for the
// others of its zone: one with a fast link, since it passes every record on to
// all of them. The lead does this for all, from the reports that it gets.
class RelayPlanner {
 public:
  // A reader that has not reported for this long is replaced; two reports may
  // be lost.
  static constexpr Milliseconds kLifetime{1000};

  // A link that is so many times as fast as another one counts as much faster.
  static constexpr LinkRate kMuchFaster = 2;

  static bool IsMuchFaster(LinkRate link, LinkRate other) {
    return link >= kMuchFaster * std::max<LinkRate>(other, 1);
  }

  // An instance of the zone, which takes reads at `address`, reported; without
  // an address it has no new records to pass on. Returns the address of the
  // zone's reader, or nothing. It stays the same while it reports, unless
  // another one's link is much faster.
  std::string OnReport(MonotonicTime now,
                       std::string_view zone,
                       std::string_view address,
                       LinkRate link);

  // Of all instances that have reported.
  LinkRate fastest_link() const { return m_fastest_link; }

 private:
  struct Reader {
    std::string address;
    LinkRate link = 0;
    MonotonicTime seen;
  };

  std::map<ZoneName, Reader, std::less<>> m_readers;
  LinkRate m_fastest_link = 0;
};

}  // namespace snipehall
