#pragma once

#include <boost/outcome/try.hpp>
#include <string>

#include "state/result.h"
#include "transport/tcp_endpoint.h"

namespace snipehall {

// Length of the listen queue. It holds a burst of connections that arrives
// while the process is not scheduled.
inline constexpr int kListenBacklog = 512;

// Opens `acceptor` as non-blocking, binds it to "address:port" and starts to
// listen, with SO_REUSEADDR. Fails with kUnavailable when the address cannot be
// bound, or with the error of ParseTcpEndpoint() when it is malformed.
template <typename Acceptor>
Result<void> BindAcceptor(Acceptor& acceptor, const std::string& address) {
  BOOST_OUTCOME_TRY(const auto endpoint, ParseTcpEndpoint(address));
  boost::system::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(kListenBacklog, error);
  }
  if (!error) {
    acceptor.non_blocking(true, error);
  }
  if (error) {
    return Fail(ErrorCode::kUnavailable,
                "cannot listen at " + address + ": " + error.message());
  }
  return boost::outcome_v2::success();
}

}  // namespace snipehall
