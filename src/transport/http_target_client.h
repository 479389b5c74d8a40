#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <string>

#include "transport/http_connection.h"
#include "transport/platform.h"

namespace snipehall {

// The control interface of one target over HTTP; see docs/design.md, 4.2.
class HttpTargetClient {
 public:
  HttpTargetClient(boost::asio::any_io_executor executor,
                   std::string address,
                   ByteCount* bytes = nullptr);

  // See the concept TargetClient. A refused order is an answer.
  boost::asio::awaitable<Result<TimedLeaseAnswer>> SendOrder(
      const LeaseOrder& order,
      MonotonicTime deadline);
  boost::asio::awaitable<Result<TimedLeaseAnswer>> QueryStatus(
      MonotonicTime deadline);

  // Ends the call in progress with a failure.
  void Close() { m_connection.Close(); }

 private:
  boost::asio::awaitable<Result<TimedLeaseAnswer>> Exchange(
      HttpCall call,
      MonotonicTime deadline);

  HttpConnection m_connection;
};

}  // namespace snipehall
