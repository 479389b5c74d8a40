#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "transport/http_connection.h"
#include "transport/platform.h"

namespace snipehall {

// The platform's log over HTTP; see docs/design.md, 4.3. Reads have a
// connection of their own, one at a time. Each append in progress has another.
class HttpLogClient {
 public:
  HttpLogClient(boost::asio::any_io_executor executor,
                std::string address,
                ByteCount* bytes = nullptr);

  // See the concept LogClient.
  boost::asio::awaitable<Result<TimedLogRead>> Read(LogOffset from,
                                                    std::size_t max,
                                                    Milliseconds wait,
                                                    MonotonicTime deadline);
  boost::asio::awaitable<Result<LogOffset>> Append(std::string data,
                                                   MonotonicTime deadline);

  // Ends the calls in progress with a failure.
  void Close();

 private:
  std::shared_ptr<HttpConnection> AcquireAppendConnection();

  boost::asio::any_io_executor m_executor;
  std::string m_address;
  ByteCount* m_bytes;
  HttpConnection m_read_connection;
  // Connections for appends; one is free when only this list refers to it.
  std::vector<std::shared_ptr<HttpConnection>> m_append_connections;
};

}  // namespace snipehall
