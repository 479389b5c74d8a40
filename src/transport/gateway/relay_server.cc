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

std::optional<RelayServer::Response> RelayServer::EncodeRecords(
    const RecordQuery& query) {
  const TopicCache* cache = m_lookup(query.topic);
  if (cache == nullptr) {
    return std::nullopt;
  }
  // A reader in an earlier era gets a page without records.
  const bool has_records = !query.from || query.from->era == cache->end().era;
  const std::pair key(query.topic, query.from
                                       ? std::optional(query.from->offset)
                                       : std::nullopt);
  const auto known = m_encoded_pages.find(key);
  if (has_records && known != m_encoded_pages.end() &&
      known->second.end == cache->end()) {
    return Response{known->second.body, cache->read_at()};
  }
  const std::optional<RecordPage> page =
      query.from ? cache->Read(*query.from) : cache->ReadNewest();
  if (!page) {
    return std::nullopt;
  }
  auto body = std::make_shared<const std::string>(
      EncodeRecordPage(*page, std::chrono::steady_clock::now()));
  if (has_records && !page->records.empty()) {
    m_encoded_pages.insert_or_assign(key, EncodedPage{cache->end(), body});
  }
  return Response{std::move(body), cache->read_at()};
}

Task<std::optional<RelayServer::Response>> RelayServer::WaitForRecords(
    const RecordQuery& query) {
  AsyncEvent event(m_executor);
  const auto position = m_waiters.insert(m_waiters.end(), &event);
  const auto timer =
      std::make_shared<DeadlineTimer>(m_executor, [&event] { event.Notify(); });
  timer->Arm(query.deadline);
  const auto has_news = [this, &query] {
    const TopicCache* cache = m_lookup(query.topic);
    return cache == nullptr || cache->end() != query.from;
  };
  while (!has_news() && std::chrono::steady_clock::now() < query.deadline) {
    co_await event.Wait();
  }
  timer->Close();
  m_waiters.erase(position);
  co_return EncodeRecords(query);
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
    if (m_on_forwarded && stream->data().substr(0, size).find(
                              m_forwarded_field) != std::string_view::npos) {
      timer->Close();
      m_streams.erase(stream.get());
      m_on_forwarded(stream);
      co_return;
    }
    const std::optional<RecordQuery> query =
        ParseQuery(stream->data().substr(0, size));
    stream->Consume(size);
    timer->Disarm();
    std::optional<Response> response;
    if (query) {
      response = co_await WaitForRecords(*query);
    }
    const std::string_view body =
        response ? std::string_view(*response->body) : std::string_view();
    std::string head =
        response ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 404 Not Found\r\n";
    if (response) {
      const auto age = std::chrono::duration_cast<Milliseconds>(
          std::chrono::steady_clock::now() - response->read_at);
      head.append(kRecordsAgeHeader)
          .append(": ")
          .append(std::to_string(age.count()))
          .append("\r\n");
    }
    head.append("Content-Length: ")
        .append(std::to_string(body.size()))
        .append("\r\n\r\n");
    std::size_t written = 0;
    timer->Arm(std::chrono::steady_clock::now() + kIdleTimeout);
    error =
        co_await stream->Write({boost::asio::buffer(head),
                                boost::asio::buffer(body.data(), body.size()),
                                {},
                                {}},
                               written);
  }
  timer->Close();
  m_streams.erase(stream.get());
  stream->Close();
}

void RelayServer::Notify() {
  m_encoded_pages.clear();
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
