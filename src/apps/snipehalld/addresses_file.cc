#include "apps/snipehalld/addresses_file.h"

#include <boost/json.hpp>
#include <fstream>

namespace snipehall {

Result<void> WriteAddressesFile(const std::filesystem::path& file,
                                const ListenAddresses& addresses) {
  const boost::json::object object{{"callers", addresses.callers},
                                   {"peers", addresses.peers},
                                   {"admin", addresses.admin}};
  std::filesystem::path temporary = file;
  temporary += ".new";
  std::ofstream stream(temporary, std::ios::binary | std::ios::trunc);
  stream << boost::json::serialize(object) << '\n';
  stream.close();
  if (!stream) {
    return Fail(ErrorCode::kUnavailable, "cannot write " + temporary.string());
  }
  std::error_code error;
  std::filesystem::rename(temporary, file, error);
  if (error) {
    return Fail(ErrorCode::kUnavailable, "cannot rename " + temporary.string() +
                                             " to " + file.string() + ": " +
                                             error.message());
  }
  return boost::outcome_v2::success();
}

}  // namespace snipehall
