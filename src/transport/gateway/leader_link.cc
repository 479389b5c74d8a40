#include "transport/gateway/leader_link.h"

#include <boost/outcome/try.hpp>

#include "protocol/leader_message_codec.h"
#include "transport/tcp_endpoint.h"

namespace snipehall {

namespace {

using boost::asio::ip::udp;
using boost::system::error_code;

Result<udp::endpoint> ParseUdpEndpoint(std::string_view address) {
  BOOST_OUTCOME_TRY(const auto endpoint, ParseTcpEndpoint(address));
  return udp::endpoint(endpoint.address(), endpoint.port());
}

}  // namespace

Result<void> LeaderLink::Start(const std::string& address) {
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
    return Fail(ErrorCode::kUnavailable, "cannot bind the UDP socket to " +
                                             address + ": " + error.message());
  }
  Receive();
  return boost::outcome_v2::success();
}

std::string LeaderLink::address() const {
  const udp::endpoint endpoint = m_socket.local_endpoint();
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void LeaderLink::Receive() {
  if (!m_socket.is_open()) {
    return;
  }
  m_socket.async_receive_from(
      boost::asio::buffer(m_buffer), m_sender,
      [this](error_code error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          HandleDatagram(size);
        }
        for (int i = 1; i < kMaxReceiveBatch && !error; ++i) {
          size = m_socket.receive_from(boost::asio::buffer(m_buffer), m_sender,
                                       0, error);
          if (!error) {
            HandleDatagram(size);
          }
        }
        Receive();
      });
}

void LeaderLink::HandleDatagram(std::size_t size) {
  const auto message = DecodeLeaderMessage({m_buffer.data(), size});
  if (message) {
    m_on_message(m_sender, message.value());
  }
}

void LeaderLink::Send(std::string_view address, const LeaderMessage& message) {
  const auto endpoint = ParseUdpEndpoint(address);
  if (endpoint) {
    Send(endpoint.value(), message);
  }
}

void LeaderLink::Send(const Endpoint& receiver, const LeaderMessage& message) {
  if (m_socket.is_open()) {
    SendEncoded(receiver, EncodeLeaderMessage(message));
  }
}

void LeaderLink::SendEncoded(const Endpoint& receiver, std::string_view bytes) {
  if (!m_socket.is_open()) {
    return;
  }
  error_code ignored;
  m_socket.send_to(boost::asio::buffer(bytes), receiver, 0, ignored);
}

void LeaderLink::Close() {
  error_code ignored;
  m_socket.close(ignored);
}

}  // namespace snipehall
