#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "transport/http_connection.h"
#include "transport/platform_clients.h"

namespace snipehall {

// Reads and appends to the platform's log over HTTP; see docs/design.md, 4.3.
// Models the concept LogClient. One read at a time uses a dedicated connection;
// each concurrent append uses a connection from a pool.
class HttpLogClient {
 public:
  // `address` is "IP-number:port". The client adds its traffic to `bytes`
  // unless it is null; `bytes` must outlive the client.
  HttpLogClient(boost::asio::any_io_executor executor,
                std::string address,
                HttpByteCounters* bytes = nullptr);

  // See LogClient for the parameters, results and errors.
  boost::asio::awaitable<Result<TimestampedLogRead>> Read(
      LogOffset from,
      std::size_t max,
      Milliseconds wait,
      MonotonicTime deadline);
  boost::asio::awaitable<Result<LogOffset>> Append(std::string data,
                                                   MonotonicTime deadline);

  // Cancels the calls in progress, which then fail.
  void Close();

 private:
  // Returns an idle connection of the pool, or a new one.
  std::shared_ptr<HttpConnection> AcquireAppendConnection();

  boost::asio::any_io_executor m_executor;
  std::string m_address;
  HttpByteCounters* m_bytes;
  HttpConnection m_read_connection;
  // Pool of connections for appends. A connection is idle when the pool holds
  // the only reference to it.
  std::vector<std::shared_ptr<HttpConnection>> m_append_connections;
};

}  // namespace snipehall
