#include "transport/gateway/relay_server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/outcome/try.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <charconv>

#include "protocol/http_head_checks.h"
#include "protocol/record_page_codec.h"
#include "transport/deadline_timer.h"
#include "transport/gateway/accept_connections.h"
#include "transport/gateway/bind_acceptor.h"

namespace snipehall {

namespace {

using boost::system::error_code;

// Upper bound of a query's `wait_ms`.
constexpr Milliseconds kMaxWait{5000};
// Time limit for an idle connection, and for sending a response.
constexpr Milliseconds kIdleTimeout{30000};

std::optional<std::uint64_t> ParseNumberParameter(
    const boost::urls::url_view& url,
    const char* name) {
  const auto found = url.params().find(name);
  if (found == url.params().end()) {
    return std::nullopt;
  }
  const std::string text((*found).value);
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

RelayServer::RelayServer(const Executor& executor, Lookup lookup)
    : m_executor(executor), m_acceptor(executor), m_lookup(std::move(lookup)) {}

Result<void> RelayServer::Start(const std::string& address) {
  BOOST_OUTCOME_TRY(BindAcceptor(m_acceptor, address));
  boost::asio::co_spawn(m_executor,
                        AcceptConnections(m_executor, m_acceptor,
                                          [this](Socket socket) {
                                            boost::asio::co_spawn(
                                                m_executor,
                                                Serve(std::move(socket)),
                                                boost::asio::detached);
                                          }),
                        boost::asio::detached);
  return boost::outcome_v2::success();
}

std::optional<RelayServer::RecordQuery> RelayServer::ParseQuery(
    std::string_view head) {
  const std::string_view line = head.substr(0, head.find("\r\n"));
  const std::size_t begin = line.find(' ');
  const std::size_t end = line.rfind(' ');
  if (begin == std::string_view::npos || end <= begin) {
    return std::nullopt;
  }
  const auto url = boost::urls::parse_origin_form(
      {line.data() + begin + 1, end - begin - 1});
  if (!url || url->path() != "/records") {
    return std::nullopt;
  }
  const auto topic = url->params().find("topic");
  if (topic == url->params().end()) {
    return std::nullopt;
  }
  RecordQuery query;
  query.topic = std::string((*topic).value);
  if (!url->params().contains("from")) {
    return query;
  }
  const auto era = ParseNumberParameter(*url, "era");
  const auto from = ParseNumberParameter(*url, "from");
  const auto wait = ParseNumberParameter(*url, "wait_ms");
  if (!era || !from || !wait) {
    return std::nullopt;
  }
  query.from = {*era, *from};
  query.deadline =
      std::chrono::steady_clock::now() +
      std::min(kMaxWait, Milliseconds(static_cast<std::int64_t>(*wait)));
  return query;
}

std::optional<RecordPage> RelayServer::FindRecords(
    const RecordQuery& query) const {
  const TopicCache* cache = m_lookup(query.topic);
  if (cache == nullptr) {
    return std::nullopt;
  }
  return query.from ? cache->Read(*query.from) : cache->ReadNewest();
}

Task<std::optional<RecordPage>> RelayServer::WaitForRecords(
    const RecordQuery& query) {
  AsyncEvent event(m_executor);
  const auto position = m_waiters.insert(m_waiters.end(), &event);
  const auto timer =
      std::make_shared<DeadlineTimer>(m_executor, [&event] { event.Notify(); });
  timer->Arm(query.deadline);
  std::optional<RecordPage> page = FindRecords(query);
  while (page && page->end() == query.from &&
         std::chrono::steady_clock::now() < query.deadline) {
    co_await event.Wait();
    page = FindRecords(query);
  }
  timer->Close();
  m_waiters.erase(position);
  co_return page;
}

Task<void> RelayServer::Serve(Socket socket) {
  const auto stream = std::make_shared<ByteStream>(std::move(socket));
  m_streams.insert(stream.get());
  const auto timer = std::make_shared<DeadlineTimer>(
      m_executor, [raw = stream.get()] { raw->Cancel(); });
  error_code error;
  while (!error) {
    timer->Arm(std::chrono::steady_clock::now() + kIdleTimeout);
    std::size_t size = 0;
    while (!error && (size = FindHeadEnd(stream->data())) == 0) {
      error = co_await stream->Fill();
    }
    if (error) {
      break;
    }
    const std::optional<RecordQuery> query =
        ParseQuery(stream->data().substr(0, size));
    stream->Consume(size);
    timer->Disarm();
    std::optional<RecordPage> page;
    if (query) {
      page = co_await WaitForRecords(*query);
    }
    std::string body;
    if (page) {
      body = EncodeRecordPage(*page, std::chrono::steady_clock::now());
    }
    std::string head =
        page ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 404 Not Found\r\n";
    head.append("Content-Length: ")
        .append(std::to_string(body.size()))
        .append("\r\n\r\n");
    std::size_t written = 0;
    timer->Arm(std::chrono::steady_clock::now() + kIdleTimeout);
    error = co_await stream->Write(
        {boost::asio::buffer(head), boost::asio::buffer(body), {}, {}},
        written);
  }
  timer->Close();
  m_streams.erase(stream.get());
  stream->Close();
}

void RelayServer::Notify() {
  for (AsyncEvent* event : m_waiters) {
    event->Notify();
  }
}

void RelayServer::Close() {
  error_code ignored;
  m_acceptor.close(ignored);
  for (ByteStream* stream : m_streams) {
    stream->Cancel();
  }
}

}  // namespace snipehall
