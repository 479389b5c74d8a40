#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "coordination/lead_message.h"
#include "state/result.h"
#include "transport/asio_types.h"

namespace snipehall {

// Carries messages between instances and the lead as datagrams. A lost one is
// not sent again: the next report follows soon.
class LeadLink {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;
  using OnMessage =
      std::function<void(const Endpoint& sender, const LeadMessage&)>;

  LeadLink(const Executor& executor, OnMessage on_message)
      : m_socket(executor), m_on_message(std::move(on_message)) {}

  // Binds "address:port" and starts to receive.
  Result<void> Start(const std::string& address);
  // An unreadable address, or a full socket, loses the message.
  void Send(std::string_view address, const LeadMessage& message);
  void Send(const Endpoint& receiver, const LeadMessage& message);
  void Close();

 private:
  using UdpSocket =
      boost::asio::basic_datagram_socket<boost::asio::ip::udp, Executor>;

  void Receive();

  // Longest datagram.
  static constexpr std::size_t kBytes = 4096;

  UdpSocket m_socket;
  OnMessage m_on_message;
  Endpoint m_sender;
  std::array<char, kBytes> m_buffer;
};

}  // namespace snipehall
