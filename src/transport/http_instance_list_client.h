#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "transport/http_connection.h"
#include "transport/platform_clients.h"

namespace snipehall {

// Fetches the platform's list of instances over HTTP; see docs/design.md, 4.4.
// Models the concept InstanceListClient.
class HttpInstanceListClient {
 public:
  // `address` is "IP-number:port". The client adds its traffic to `bytes`
  // unless it is null; `bytes` must outlive the client.
  HttpInstanceListClient(boost::asio::any_io_executor executor,
                         std::string address,
                         HttpByteCounters* bytes = nullptr);

  // Returns all instances. See InstanceListClient for the errors.
  boost::asio::awaitable<Result<std::vector<PlatformInstance>>> Fetch(
      MonotonicTime deadline);

  // Cancels the call in progress, which then fails.
  void Close() { m_connection.Close(); }

 private:
  HttpConnection m_connection;
};

}  // namespace snipehall
