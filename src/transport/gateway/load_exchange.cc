#include "transport/gateway/load_exchange.h"

#include <boost/outcome/try.hpp>

#include "protocol/load_report_codec.h"
#include "transport/target_pool.h"

namespace snipehall {

namespace {

using boost::asio::ip::udp;
using boost::system::error_code;

Result<udp::endpoint> ParseUdpEndpoint(std::string_view address) {
  BOOST_OUTCOME_TRY(const auto endpoint, ParseEndpoint(address));
  return udp::endpoint(endpoint.address(), endpoint.port());
}

}  // namespace

Result<void> LoadExchange::Start(const std::string& address) {
  BOOST_OUTCOME_TRY(const udp::endpoint endpoint, ParseUdpEndpoint(address));
  error_code error;
  m_socket.open(endpoint.protocol(), error);
  if (!error) {
    m_socket.bind(endpoint, error);
  }
  if (!error) {
    m_socket.non_blocking(true, error);
  }
  if (error) {
    return Fail(ErrorCode::kUnavailable,
                "cannot receive at " + address + ": " + error.message());
  }
  Receive();
  return boost::outcome_v2::success();
}

void LoadExchange::Receive() {
  m_socket.async_receive(
      boost::asio::buffer(m_buffer),
      [this](const error_code& error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          const auto report = DecodeLoadReport({m_buffer.data(), size});
          if (report) {
            m_on_report(report.value());
          }
        }
        Receive();
      });
}

void LoadExchange::Send(std::string_view address, const KeyLoadReport& report) {
  const auto endpoint = ParseUdpEndpoint(address);
  if (!endpoint || !m_socket.is_open()) {
    return;
  }
  const std::string bytes = EncodeLoadReport(report);
  error_code ignored;
  m_socket.send_to(boost::asio::buffer(bytes), endpoint.value(), 0, ignored);
}

void LoadExchange::Close() {
  error_code ignored;
  m_socket.close(ignored);
}

}  // namespace snipehall
