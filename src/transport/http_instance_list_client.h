#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "transport/http_connection.h"
#include "transport/platform.h"

namespace snipehall {

// The platform's instance list over HTTP; see docs/design.md, 4.4.
class HttpInstanceListClient {
 public:
  HttpInstanceListClient(boost::asio::any_io_executor executor,
                         std::string address,
                         ByteCount* bytes = nullptr);

  // See the concept InstanceListClient.
  boost::asio::awaitable<Result<std::vector<PlatformInstance>>> Fetch(
      MonotonicTime deadline);

  // Ends the call in progress with a failure.
  void Close() { m_connection.Close(); }

 private:
  HttpConnection m_connection;
};

}  // namespace snipehall
