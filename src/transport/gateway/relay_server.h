#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "state/record_page.h"
#include "state/result.h"
#include "transport/async_event.h"
#include "transport/byte_stream.h"

namespace snipehall {

// Relays records of the platform's log to other instances over HTTP:
//   GET /records?topic=T&from=N&wait_ms=W
// The response is a page of records, sent as soon as there is a record at
// offset N, or after W milliseconds. It is 404 for a malformed query and for
// records that are not available.
class RelayServer {
 public:
  // The cached records of a topic from an offset on; nothing when they are not
  // cached.
  using Lookup = std::function<std::optional<RecordPage>(std::string_view topic,
                                                         std::uint64_t from)>;

  RelayServer(const Executor& executor, Lookup lookup);

  // Binds "address:port" and starts to accept. Fails when the address is
  // malformed or cannot be bound.
  Result<void> Start(const std::string& address);

  // Wakes the waiting queries; call it when a topic has new records.
  void Notify();
  // Closes the listener and cancels the operations of all connections.
  void Close();

 private:
  using Acceptor =
      boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, Executor>;

  struct RecordQuery {
    std::string topic;
    std::uint64_t from = 0;
    MonotonicTime deadline;
  };

  Task<void> Serve(Socket socket);
  // The response to `query`, after waiting for a record as it asks; nothing
  // when the records are not available.
  Task<std::optional<RecordPage>> WaitForRecords(const RecordQuery& query);
  static std::optional<RecordQuery> ParseQuery(std::string_view head);

  Executor m_executor;
  Acceptor m_acceptor;
  Lookup m_lookup;
  std::list<AsyncEvent*> m_waiters;
  std::set<ByteStream*> m_streams;
};

}  // namespace snipehall
