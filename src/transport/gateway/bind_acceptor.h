#pragma once

#include <boost/outcome/try.hpp>
#include <string>

#include "state/result.h"
#include "state/types.h"
#include "transport/tcp_endpoint.h"

namespace snipehall {

// Connections that may wait to be accepted: those of a burst that arrives while
// the process has no turn.
inline constexpr int kBacklog = 512;

// Pause after a failed accept, which usually means that descriptors ran out.
inline constexpr Milliseconds kAcceptPause{20};

// Opens, binds and listens at "address:port".
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
    acceptor.listen(kBacklog, error);
  }
  if (error) {
    return Fail(ErrorCode::kUnavailable,
                "cannot listen at " + address + ": " + error.message());
  }
  return boost::outcome_v2::success();
}

}  // namespace snipehall
