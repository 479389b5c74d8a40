#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <string>

#include "protocol/platform_protocol.h"
#include "standins/common/http_server.h"
#include "standins/common/outage.h"
#include "standins/common/program.h"
#include "standins/common/test_control.h"

namespace snipehall::standin {

namespace {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

// Stand-in for the platform's instance list; see docs/design.md, 4.4. Serves
// the list with a configurable lag.
class InstanceList {
 public:
  explicit InstanceList(std::uint64_t lag_ms) : m_lag(lag_ms) {
    m_versions.push_back(
        {steady_clock::time_point::min(), EncodeInstanceList({})});
  }

  void Handle(const std::shared_ptr<HttpSession>& session) {
    const HttpRequest& request = session->request();
    const std::string_view path = PathOf(request);
    const bool post = request.method() == http::verb::post;
    if (request.method() == http::verb::get && path == "/v1/instances") {
      if (!m_outage.Intercept(session)) {
        session->Answer(JsonAnswer(http::status::ok, VisibleList()));
      }
    } else if (request.method() == http::verb::put &&
               path == "/test/instances") {
      ReplaceList(session);
    } else if (post && path == "/test/lag_ms") {
      SetLag(session);
    } else if (post && path == "/test/outage") {
      m_outage.HandleControl(session);
    } else {
      session->Answer(ErrorAnswer(http::status::not_found, "unknown path"));
    }
  }

 private:
  struct Version {
    steady_clock::time_point since;
    std::string list;
  };

  // Maximum number of versions that are kept, so that the lag can be raised
  // later.
  static constexpr std::size_t kMaxVersions = 1000;

  // Returns the list as it was before the lag.
  const std::string& VisibleList() const {
    const auto visible_time = steady_clock::now() - m_lag;
    std::size_t index = m_versions.size() - 1;
    while (index > 0 && m_versions[index].since > visible_time) {
      --index;
    }
    return m_versions[index].list;
  }

  void ReplaceList(const std::shared_ptr<HttpSession>& session) {
    const auto list = DecodeInstanceList(session->request().body());
    if (!list.has_value()) {
      session->Answer(
          ErrorAnswer(http::status::bad_request, list.error().message));
      return;
    }
    m_versions.push_back(
        {steady_clock::now(), EncodeInstanceList(list.value())});
    if (m_versions.size() > kMaxVersions) {
      m_versions.pop_front();
    }
    session->Answer(JsonAnswer(http::status::ok, "{}"));
  }

  void SetLag(const std::shared_ptr<HttpSession>& session) {
    ApplyControl(session, [this](JsonFields& fields) {
      const int lag = fields.Count("ms");
      return [this, lag] { m_lag = std::chrono::milliseconds(lag); };
    });
  }

  std::chrono::milliseconds m_lag;
  std::deque<Version> m_versions;
  Outage m_outage;
};

int Run(int argc, char** argv) {
  HttpServer::Options server;
  std::uint64_t lag_ms = 0;
  ParseOptions(argc, argv,
               {{"listen", TextOption(&server.listen, "address:port")},
                {"lag-ms", NumberOption(&lag_ms, "age of the list, ms")}});
  boost::asio::io_context context(1);
  InstanceList list(lag_ms);
  return RunServer(context, server,
                   [&list](const auto& session) { list.Handle(session); });
}

}  // namespace

}  // namespace snipehall::standin

int main(int argc, char** argv) {
  return snipehall::standin::Run(argc, argv);
}
