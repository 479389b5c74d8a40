#pragma once

#include <map>
#include <string>
#include <string_view>

#include "state/types.h"

namespace snipehall {

// Chooses one instance of each availability zone that reads the log for the
// others of its zone. The lead does this for all, from the reports that it
// gets.
class RelayPlanner {
 public:
  // An instance that has not reported for this long is not chosen.
  static constexpr Milliseconds kLifetime{1500};

  // An instance of the zone, which takes reads at `address`, reported. Returns
  // the address of the zone's reader. It stays the same while it reports.
  std::string OnReport(MonotonicTime now,
                       std::string_view zone,
                       std::string_view address);

 private:
  struct Reader {
    std::string address;
    MonotonicTime seen;
  };

  std::map<ZoneName, Reader, std::less<>> m_readers;
};

}  // namespace snipehall
