#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "coordination/key_load.h"
#include "state/result.h"
#include "transport/asio_types.h"

namespace snipehall {

// Carries load reports between instances as datagrams. A lost one is not sent
// again: the next report follows soon.
class LoadExchange {
 public:
  using OnReport = std::function<void(const KeyLoadReport&)>;

  LoadExchange(const Executor& executor, OnReport on_report)
      : m_socket(executor), m_on_report(std::move(on_report)) {}

  // Binds "address:port" and starts to receive.
  Result<void> Start(const std::string& address);
  void Send(std::string_view address, const KeyLoadReport& report);
  void Close();

 private:
  using UdpSocket =
      boost::asio::basic_datagram_socket<boost::asio::ip::udp, Executor>;

  void Receive();

  // Longest datagram.
  static constexpr std::size_t kBytes = 4096;

  UdpSocket m_socket;
  OnReport m_on_report;
  std::array<char, kBytes> m_buffer;
};

}  // namespace snipehall
