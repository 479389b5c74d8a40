#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <string>

#include "transport/http_connection.h"
#include "transport/platform_clients.h"

namespace snipehall {

// Client of the HTTP control interface of one target; see docs/design.md, 4.2.
// Models the concept TargetClient.
class HttpTargetClient {
 public:
  // `address` is "IP-number:port". The client adds its traffic to `bytes`
  // unless it is null; `bytes` must outlive the client.
  HttpTargetClient(boost::asio::any_io_executor executor,
                   std::string address,
                   HttpByteCounters* bytes = nullptr);

  // Sends a lease order. An order that the target refuses is not an error; the
  // response states whether it was accepted. See TargetClient for the errors.
  boost::asio::awaitable<Result<TimestampedLeaseResponse>> SendOrder(
      const LeaseOrder& order,
      MonotonicTime deadline);

  // Queries the target's lease and load. See TargetClient for the errors.
  boost::asio::awaitable<Result<TimestampedLeaseResponse>> QueryStatus(
      MonotonicTime deadline);

  // Cancels the call in progress, which then fails.
  void Close() { m_connection.Close(); }

 private:
  boost::asio::awaitable<Result<TimestampedLeaseResponse>> Exchange(
      HttpClientRequest call,
      MonotonicTime deadline);

  HttpConnection m_connection;
};

}  // namespace snipehall
