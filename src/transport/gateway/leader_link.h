#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "coordination/leader_message.h"
#include "state/result.h"
#include "transport/asio_types.h"

namespace snipehall {

// Exchanges messages between instances and the leader as UDP datagrams. Lost
// datagrams are not retransmitted, because the next report follows soon.
class LeaderLink {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;
  using OnMessage =
      std::function<void(const Endpoint& sender, const LeaderMessage&)>;

  LeaderLink(const Executor& executor, OnMessage on_message)
      : m_socket(executor), m_on_message(std::move(on_message)) {}

  // Binds the UDP socket to "address:port" and starts to receive. Fails with
  // kUnavailable when that is impossible, or with the error of
  // ParseTcpEndpoint() when the address is malformed.
  Result<void> Start(const std::string& address);
  // "address:port" of the socket, once it is bound; differs from the argument
  // of Start() when that leaves the choice of the port to the system.
  std::string address() const;
  // Sends without blocking. The message is dropped when the address is
  // malformed or the socket buffer is full.
  void Send(std::string_view address, const LeaderMessage& message);
  void Send(const Endpoint& receiver, const LeaderMessage& message);
  // The same with the bytes of EncodeLeaderMessage(), for a message to many.
  void SendEncoded(const Endpoint& receiver, std::string_view bytes);
  void Close();

 private:
  using UdpSocket =
      boost::asio::basic_datagram_socket<boost::asio::ip::udp, Executor>;

  // Receives until the socket is closed. Handles all datagrams that are
  // waiting, up to kMaxReceiveBatch, before other handlers run: one for each
  // pass of the event loop would be too slow when the loop is busy.
  void Receive();
  void HandleDatagram(std::size_t size);

  // Maximum number of datagrams handled at once, so that a burst of them does
  // not hold up other work.
  static constexpr int kMaxReceiveBatch = 64;
  // Limit of a received datagram; a longer one is truncated and fails to
  // decode.
  static constexpr std::size_t kMaxDatagramBytes = std::size_t{16} * 1024;

  UdpSocket m_socket;
  OnMessage m_on_message;
  Endpoint m_sender;
  std::array<char, kMaxDatagramBytes> m_buffer;
};

}  // namespace snipehall
