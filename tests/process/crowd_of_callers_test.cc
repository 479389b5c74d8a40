#include <sys/time.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "process/support/gateway_cluster.h"
#include "unit/support/raw_socket.h"

#include <criterion/criterion.h>

// Callers outside the limits of the configuration, or many at once that send
// nearly all of a long body and then keep the connection open. The limits of
// the gateway are set low, so that a small crowd exceeds them.

namespace snipehall::test {
namespace {

using std::chrono::seconds;

// Memory and descriptors of the gateway's machine. The platform kills a process
// above them.
constexpr int kMemoryMb = 96;
constexpr int kMaxDescriptors = 600;
// Largest body of a request.
constexpr std::size_t kMaxBodyBytes = std::size_t{4} << 20;
// Number of callers with a body. Their bodies need twice the memory.
constexpr int kCallers = 48;
// Number of callers that only hold a connection.
constexpr int kConnections = 900;
// Bytes that a caller with a body over the limit sends.
constexpr std::size_t kExcessiveBytes = std::size_t{24} << 20;
constexpr std::size_t kPieceBytes = std::size_t{64} << 10;
// A caller gives up when the gateway reads nothing for this long.
constexpr timeval kSendTimeout = {5, 0};

// A caller that sends its request in pieces.
class Caller {
 public:
  Caller(const std::string& address, std::string_view body_header)
      : m_socket(RawSocket::Connect(address)) {
    setsockopt(m_socket.fd(), SOL_SOCKET, SO_SNDTIMEO, &kSendTimeout,
               sizeof kSendTimeout);
    Send(
        "POST /booking/upload HTTP/1.1\r\nHost: shop.example\r\n"
        "Attempt-Id: " +
        std::to_string(s_next_id++) + "\r\n" + std::string(body_header) +
        "\r\n\r\n");
  }

  // Sends `bytes` unless the gateway has closed the connection or has stopped
  // reading.
  void Send(std::string_view bytes) { m_open = m_open && m_socket.Send(bytes); }
  bool is_open() const { return m_open; }

 private:
  inline static int s_next_id = 0;

  RawSocket m_socket;
  bool m_open = true;
};

std::string Repeat(std::string_view text, std::size_t size) {
  std::string result;
  while (result.size() + text.size() <= size) {
    result += text;
  }
  return result;
}

std::string LengthHeader(std::size_t size) {
  return "Content-Length: " + std::to_string(size);
}

constexpr std::string_view kChunked = "Transfer-Encoding: chunked";

GatewayCluster StartCluster() {
  return GatewayCluster({.gateways = 1,
                         .keyed_targets = 2,
                         .unkeyed_targets = 2,
                         .memory_mb = kMemoryMb,
                         .max_descriptors = kMaxDescriptors,
                         .max_body_bytes = kMaxBodyBytes});
}

// Whether the gateway has read all that its callers have sent: the receive
// queues of its sockets are empty.
bool HasReadAll(const std::string& address) {
  constexpr int kLocalAddressColumn = 1;
  constexpr int kQueuesColumn = 4;
  std::array<char, 8> port = {};
  std::snprintf(port.data(), port.size(), ":%04X",
                std::atoi(address.substr(address.rfind(':') + 1).c_str()));
  std::ifstream table("/proc/net/tcp");
  for (std::string line; std::getline(table, line);) {
    std::istringstream columns(line);
    std::string local;
    std::string queues;
    std::string column;
    for (int i = 0; columns >> column; ++i) {
      if (i == kLocalAddressColumn) {
        local = column;
      } else if (i == kQueuesColumn) {
        queues = column;
      }
    }
    if (local.ends_with(port.data()) && !queues.ends_with(":00000000")) {
      return false;
    }
  }
  return true;
}

// Whether an ordinary request is served, possibly after refusals.
bool IsServed(const GatewayCluster& cluster) {
  static int next_id = 0;
  return WaitUntil(Clock::now() + seconds(20), [&cluster] {
    HttpClient client(cluster.address(0));
    const auto response = client.Send(
        {.method = boost::beast::http::verb::post,
         .path = "/booking/ordinary",
         .headers = {{"Host", "shop.example"},
                     {"Attempt-Id", "ordinary-" + std::to_string(next_id++)},
                     {"Deadline-Ms", "2000"}},
         .body = std::string(1000, 'a')},
        Clock::now() + seconds(3));
    return response && response->status == 200;
  });
}

// Lets `send` open the connections of a crowd, and checks the gateway while
// they are open and after they have been closed.
void CheckCrowd(
    const std::function<std::vector<Caller>(const std::string& address)>&
        send) {
  GatewayCluster cluster = StartCluster();
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  Require(IsServed(cluster), "no request is served before the crowd");
  {
    const std::vector<Caller> crowd = send(cluster.address(0));
    Require(WaitUntil(Clock::now() + seconds(60),
                      [&cluster] { return HasReadAll(cluster.address(0)); }),
            "the gateway has stopped reading");
    const std::size_t descriptors = cluster.OpenDescriptors(0);
    Require(descriptors < kMaxDescriptors,
            "the gateway has " + std::to_string(descriptors) + " descriptors");
    Require(IsServed(cluster), "no request is served beside the crowd");
  }
  Require(!cluster.WaitForExit(0, Clock::now()), "the gateway has ended");
  const std::size_t peak_mb = cluster.PeakResidentBytes(0) >> 20;
  Require(peak_mb < kMemoryMb,
          "the gateway has used " + std::to_string(peak_mb) + " MB");
  Require(IsServed(cluster), "no request is served after the crowd");
}

std::vector<Caller> Connect(const std::string& address,
                            int count,
                            std::string_view body_header) {
  std::vector<Caller> callers;
  callers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    callers.emplace_back(address, body_header);
  }
  return callers;
}

// Sends `size` bytes of `block`'s repetitions from each caller, in pieces that
// alternate between the callers.
void SendInTurn(std::vector<Caller>& callers,
                const std::string& block,
                std::size_t size) {
  for (std::size_t sent = 0; sent < size;) {
    const std::string_view piece =
        std::string_view(block).substr(0, size - sent);
    for (Caller& caller : callers) {
      caller.Send(piece);
    }
    sent += piece.size();
  }
}

// Guards against a gateway that keeps the bodies of a crowd of callers without
// a common bound, and runs out of memory.
Test(crowd_of_callers, bodies_that_lack_their_last_byte) {
  CheckCrowd([](const std::string& address) {
    std::vector<Caller> callers =
        Connect(address, kCallers, LengthHeader(kMaxBodyBytes));
    const std::string body(kMaxBodyBytes - 1, 'a');
    for (Caller& caller : callers) {
      caller.Send(body);
    }
    return callers;
  });
}

// The same for bodies that come piece by piece.
Test(crowd_of_callers, bodies_in_pieces_that_lack_their_last_byte) {
  CheckCrowd([](const std::string& address) {
    std::vector<Caller> callers =
        Connect(address, kCallers, LengthHeader(kMaxBodyBytes));
    SendInTurn(callers, std::string(kPieceBytes, 'a'), kMaxBodyBytes - 1);
    return callers;
  });
}

// The same for bodies in large chunks without the last one.
Test(crowd_of_callers, large_chunks_without_the_last) {
  CheckCrowd([](const std::string& address) {
    std::vector<Caller> callers = Connect(address, kCallers, kChunked);
    const std::string chunk =
        "10000\r\n" + std::string(kPieceBytes, 'a') + "\r\n";
    const std::size_t chunks = kMaxBodyBytes / kPieceBytes;
    SendInTurn(callers, chunk, chunk.size() * chunks);
    return callers;
  });
}

// The same for bodies in very small chunks.
Test(crowd_of_callers, small_chunks_without_the_last) {
  CheckCrowd([](const std::string& address) {
    std::vector<Caller> callers = Connect(address, kCallers, kChunked);
    constexpr std::string_view kChunk = "4\r\naaaa\r\n";
    constexpr std::size_t kDataBytes = 4;
    SendInTurn(callers, Repeat(kChunk, kPieceBytes),
               kMaxBodyBytes / kDataBytes * kChunk.size());
    return callers;
  });
}

// Guards against bodies far over the limit, announced by their length.
Test(crowd_of_callers, announced_bodies_over_the_limit) {
  CheckCrowd([](const std::string& address) {
    std::vector<Caller> callers =
        Connect(address, kCallers, LengthHeader(kMaxBodyBytes * 1000));
    SendInTurn(callers, std::string(kPieceBytes, 'a'), kExcessiveBytes);
    return callers;
  });
}

// Guards against bodies far over the limit in chunks.
Test(crowd_of_callers, chunked_bodies_over_the_limit) {
  CheckCrowd([](const std::string& address) {
    std::vector<Caller> callers = Connect(address, kCallers, kChunked);
    SendInTurn(callers, "10000\r\n" + std::string(kPieceBytes, 'a') + "\r\n",
               kExcessiveBytes);
    return callers;
  });
}

// Guards against a gateway that accepts more connections than it may have
// descriptors.
Test(crowd_of_callers, connections_that_stay_open) {
  CheckCrowd([](const std::string& address) {
    std::vector<Caller> callers =
        Connect(address, kConnections, LengthHeader(kPieceBytes));
    for (Caller& caller : callers) {
      caller.Send("a");
    }
    return callers;
  });
}

// A single body of the largest size is served in calm, however it is sent.
Test(crowd_of_callers, the_largest_body_is_served) {
  GatewayCluster cluster = StartCluster();
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  HttpClient client(cluster.address(0));
  const auto response = client.Send({.method = boost::beast::http::verb::post,
                                     .path = "/booking/largest",
                                     .headers = {{"Host", "shop.example"},
                                                 {"Attempt-Id", "largest"},
                                                 {"Deadline-Ms", "2000"}},
                                     .body = std::string(kMaxBodyBytes, 'a')},
                                    Clock::now() + seconds(10));
  Require(response && response->status == 200, "it is not served");
  const std::size_t peak_mb = cluster.PeakResidentBytes(0) >> 20;
  Require(peak_mb < kMemoryMb,
          "the gateway has used " + std::to_string(peak_mb) + " MB");
}

}  // namespace
}  // namespace snipehall::test
