#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "state/result.h"
#include "state/topic_cache.h"
#include "transport/async_event.h"
#include "transport/byte_stream.h"

namespace snipehall {

// Relays records of the platform's log to other instances over HTTP:
//   GET /records?topic=T&era=E&from=N&wait_ms=W
// The response is a page of records, sent as soon as there is a record at
// offset N or the log is in a later era than E, or after W milliseconds. In the
// latter case the page has no records.
//   GET /records?topic=T
// The response is a page with the newest record of each key.
// The response is 404 for a malformed query and for records that are not
// available.
class RelayServer {
 public:
  // Returns the cache of a topic, or null if there is none.
  using Lookup = std::function<const TopicCache*(std::string_view topic)>;

  RelayServer(const Executor& executor, Lookup lookup);

  // Binds "address:port" and starts to accept. Fails when the address is
  // malformed or cannot be bound.
  Result<void> Start(const std::string& address);

  // Passes the connections of other instances to `on_forwarded` whose first
  // request has the header `name`; that request is still unread.
  void set_on_forwarded(
      std::string_view name,
      std::function<void(std::shared_ptr<ByteStream>)> on_forwarded) {
    m_forwarded_field = "\r\n" + std::string(name) + ":";
    m_on_forwarded = std::move(on_forwarded);
  }

  // Wakes the waiting queries; call it when a topic has new records.
  void Notify();
  // Closes the listener and cancels the operations of all connections.
  void Close();

 private:
  using Acceptor =
      boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, Executor>;

  struct RecordQuery {
    std::string topic;
    // No value to read the newest record of each key.
    std::optional<TopicPosition> from;
    MonotonicTime deadline;
  };

  // An encoded page, which is sent to all readers that ask for the same
  // records.
  struct Response {
    std::shared_ptr<const std::string> body;
    // When the records were read from the log.
    MonotonicTime read_at;
  };

  Task<void> Serve(Socket socket);
  // The response to `query`, after waiting for a record as it asks; nothing
  // when the records are not available.
  Task<std::optional<Response>> WaitForRecords(const RecordQuery& query);
  // The response to `query` that is possible now.
  std::optional<Response> EncodeRecords(const RecordQuery& query);
  static std::optional<RecordQuery> ParseQuery(std::string_view head);

  Executor m_executor;
  Acceptor m_acceptor;
  Lookup m_lookup;
  std::string m_forwarded_field;
  std::function<void(std::shared_ptr<ByteStream>)> m_on_forwarded;
  // Responses with records by the query's topic and position, where a snapshot
  // has no position. Valid while the topic ends at `end`.
  struct EncodedPage {
    TopicPosition end;
    std::shared_ptr<const std::string> body;
  };
  std::map<std::pair<std::string, std::optional<std::uint64_t>>, EncodedPage>
      m_encoded_pages;
  std::list<AsyncEvent*> m_waiters;
  std::set<ByteStream*> m_streams;
};

}  // namespace snipehall
