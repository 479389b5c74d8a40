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
  // Two reports may be lost.
  static constexpr Milliseconds kLifetime{1000};

  // An instance of the zone, which takes reads at `address`, reported; without
  // an address it has no new records to pass on. Returns the address of the
  // zone's reader, or nothing. It stays the same while it reports.
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
