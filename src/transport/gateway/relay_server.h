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

// Passes records of the log on to other instances, over HTTP:
// "GET /records?topic=T&from=N&wait_ms=W" is answered with a record page as
// soon as there is a record at offset N, or when W has passed.
class RelayServer {
 public:
  // The records of a topic from an offset on, or nothing.
  using Lookup = std::function<std::optional<RecordPage>(std::string_view topic,
                                                         std::uint64_t from)>;

  RelayServer(const Executor& executor, Lookup lookup);

  // Binds "address:port" and starts to accept.
  Result<void> Start(const std::string& address);

  // A topic has new records.
  void Notify();
  void Close();

 private:
  using Acceptor =
      boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, Executor>;

  struct Question {
    std::string topic;
    std::uint64_t from = 0;
    MonotonicTime deadline;
  };

  Task<void> Accept();
  Task<void> Serve(Socket socket);
  Task<std::optional<RecordPage>> Wait(const Question& question);
  static std::optional<Question> Parse(std::string_view head);

  Executor m_executor;
  Acceptor m_acceptor;
  Lookup m_lookup;
  std::list<AsyncEvent*> m_waiting;
  std::set<ByteStream*> m_streams;
};

}  // namespace snipehall
