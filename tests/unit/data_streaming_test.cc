#include <malloc.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <future>
#include <new>

#include "unit/support/data_fixture.h"

#include <criterion/criterion.h>

using namespace snipehall;        // NOLINT(google-build-using-namespace)
using namespace snipehall::test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::size_t kBodyBytes = std::size_t{64} << 20;
constexpr std::size_t kMaxBufferedBytes = std::size_t{1} << 20;

// Bytes that the whole process has allocated on the heap, and their peak.
std::atomic<std::ptrdiff_t> live_bytes = 0;
std::atomic<std::ptrdiff_t> peak_bytes = 0;

void* CountedAllocate(std::size_t size) {
  void* block = std::malloc(size);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  const auto usable = static_cast<std::ptrdiff_t>(malloc_usable_size(block));
  const std::ptrdiff_t live = live_bytes += usable;
  std::ptrdiff_t peak = peak_bytes;
  while (live > peak && !peak_bytes.compare_exchange_weak(peak, live)) {
  }
  return block;
}

void CountedFree(void* block) {
  if (block != nullptr) {
    live_bytes -= static_cast<std::ptrdiff_t>(malloc_usable_size(block));
    std::free(block);
  }
}

// Sends `size` zero bytes and counts them in `sent`. Returns false when the
// connection fails.
bool SendZeros(int fd, std::size_t size, std::atomic<std::size_t>& sent) {
  static const std::array<char, 65536> kZeros = {};
  while (sent < size) {
    const ssize_t count = send(
        fd, kZeros.data(), std::min(kZeros.size(), size - sent), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Waits until `value` has not changed for 200 ms.
void WaitUntilUnchanged(const std::atomic<std::size_t>& value) {
  std::size_t last = value;
  auto since = std::chrono::steady_clock::now();
  cr_assert(Eventually([&] {
    if (value != last) {
      last = value;
      since = std::chrono::steady_clock::now();
    }
    return std::chrono::steady_clock::now() - since >
           std::chrono::milliseconds(200);
  }));
}

}  // namespace

void* operator new(std::size_t size) {
  return CountedAllocate(size);
}
void* operator new[](std::size_t size) {
  return CountedAllocate(size);
}
void operator delete(void* block) noexcept {
  CountedFree(block);
}
void operator delete[](void* block) noexcept {
  CountedFree(block);
}
void operator delete(void* block, std::size_t /*size*/) noexcept {
  CountedFree(block);
}
void operator delete[](void* block, std::size_t /*size*/) noexcept {
  CountedFree(block);
}

// Guards against an upload that is buffered in memory when the target reads
// slowly, and against bytes that are lost under backpressure.
Test(data_streaming, upload_backpressure_bounds_memory) {
  std::promise<void> release;
  std::promise<std::size_t> received;
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    if (head.starts_with("POST /control/")) {
      return connection.Send(kOkAnswer);
    }
    release.get_future().wait();
    received.set_value(connection.Drop(kBodyBytes));
    return connection.Send(kOkAnswer);
  });
  DataFixture fixture;
  ServiceRoutes& routes = fixture.AddService("scan", {target.address()});
  routes.config.classes[0].default_deadline = Milliseconds(60000);
  fixture.Start();
  RawSocket caller = fixture.Connect();
  const std::ptrdiff_t before = live_bytes;
  peak_bytes = before;
  caller.Send("POST /scan HTTP/1.1\r\nHost: h\r\nContent-Length: " +
              std::to_string(kBodyBytes) + "\r\n\r\n");
  std::atomic<std::size_t> sent = 0;
  auto sender = std::async(std::launch::async, [&] {
    return SendZeros(caller.fd(), kBodyBytes, sent);
  });
  WaitUntilUnchanged(sent);
  // The bytes sent so far are in the socket buffers of the kernel.
  cr_assert_lt(sent, kBodyBytes);
  release.set_value();
  cr_assert(sender.get());
  const std::size_t size = received.get_future().get();
  cr_assert_eq(size, kBodyBytes);
  cr_assert_lt(peak_bytes - before,
               static_cast<std::ptrdiff_t>(kMaxBufferedBytes));
  cr_assert_eq(ReadResponse(caller).status, 200);
}

// Guards against a response that is buffered in memory when the caller reads
// slowly.
Test(data_streaming, download_backpressure_bounds_memory) {
  std::atomic<std::size_t> sent = 0;
  FakeTarget target([&sent](RawSocket& connection, const std::string&) {
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                    std::to_string(kBodyBytes) + "\r\n\r\n");
    return SendZeros(connection.fd(), kBodyBytes, sent);
  });
  DataFixture fixture;
  ServiceRoutes& routes = fixture.AddService("scan", {target.address()});
  routes.config.classes[0].default_deadline = Milliseconds(60000);
  fixture.Start();
  RawSocket caller = fixture.Connect();
  const std::ptrdiff_t before = live_bytes;
  peak_bytes = before;
  caller.Send(FormatGet("/scan"));
  cr_assert(Eventually([&sent] { return sent > 0; }));
  WaitUntilUnchanged(sent);
  cr_assert_lt(sent, kBodyBytes);
  const std::string head = caller.ReadThrough("\r\n\r\n");
  cr_assert(head.starts_with("HTTP/1.1 200 "));
  const std::size_t size = caller.Drop(kBodyBytes);
  cr_assert_eq(size, kBodyBytes);
  cr_assert_lt(peak_bytes - before,
               static_cast<std::ptrdiff_t>(kMaxBufferedBytes));
}

// Guards against bytes that are lost or changed when a chunked body is
// forwarded, for chunks of any size.
Test(data_streaming, chunked_bodies_arrive_unchanged) {
  FakeTarget target([](RawSocket& connection, const std::string& head) {
    cr_assert_eq(HeaderOf(head, "Transfer-Encoding"), "chunked");
    std::string body;
    std::size_t size = 1;
    while (size > 0) {
      size = std::strtoul(connection.ReadThrough("\r\n").c_str(), nullptr, 16);
      body += connection.ReadExactly(size);
      connection.ReadThrough("\r\n");
    }
    std::string response =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < body.size(); at += 777) {
      const std::string piece = body.substr(at, 777);
      std::array<char, 32> line;
      const int length =
          std::snprintf(line.data(), line.size(), "%zx\r\n", piece.size());
      response.append(line.data(), static_cast<std::size_t>(length));
      response += piece + "\r\n";
    }
    return connection.Send(response + "0\r\n\r\n");
  });
  DataFixture fixture;
  fixture.AddService("scan", {target.address()});
  fixture.Start();
  RawSocket caller = fixture.Connect();
  for (int round = 0; round < 5; ++round) {
    std::string request =
        "POST /scan HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string body;
    for (std::size_t size = 1; size < 100000; size = size * 3 + 1) {
      std::string piece(size, 'a');
      for (std::size_t i = 0; i < size; ++i) {
        piece[i] = static_cast<char>(i * 31 + size);
      }
      std::array<char, 48> line;
      const int length =
          std::snprintf(line.data(), line.size(), "%zX;ext=\"v\"\r\n", size);
      request.append(line.data(), static_cast<std::size_t>(length));
      request += piece + "\r\n";
      body += piece;
    }
    auto sender = std::async(std::launch::async, [&] {
      return caller.Send(request + "0\r\nTrailer-X: a\r\n\r\n");
    });
    const Response response = ReadResponse(caller);
    sender.get();
    cr_assert_eq(response.status, 200);
    cr_assert(response.complete);
    cr_assert(response.body == body);
  }
  cr_assert_eq(target.connections(), 1);
}

// Guards against a response delimited by the end of the connection that is
// taken for a truncated one, and against waiting for the body of a response
// that has none.
Test(data_streaming, responses_without_length_and_without_body) {
  FakeTarget target([](RawSocket& connection, const std::string& head) {
    if (head.starts_with("HEAD ")) {
      return connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n");
    }
    if (head.find("/none") != std::string::npos) {
      return connection.Send(
          "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
    }
    connection.Send("HTTP/1.1 200 OK\r\n\r\nuntil the end");
    return false;
  });
  DataFixture fixture;
  fixture.AddService("doc", {target.address()});
  fixture.Start();
  RawSocket caller = fixture.Connect();
  caller.Send("HEAD /doc HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string head = caller.ReadThrough("\r\n\r\n");
  cr_assert_eq(HeaderOf(head, "Content-Length"), "500");
  caller.Send(FormatGet("/doc/none"));
  cr_assert_eq(ReadResponse(caller).status, 204);
  caller.Send(FormatGet("/doc"));
  const Response response = ReadResponse(caller);
  cr_assert(response.complete);
  cr_assert_eq(response.body, "until the end");
}

// Guards against a caller that waits for "100 Continue" and never gets it.
Test(data_streaming, expect_100_continue_is_answered) {
  FakeTarget target([](RawSocket& connection, const std::string& head) {
    connection.ReadExactly(
        std::strtoul(HeaderOf(head, "Content-Length").c_str(), nullptr, 10));
    return HeaderOf(head, "Expect").empty() && connection.Send(kOkAnswer);
  });
  DataFixture fixture;
  fixture.AddService("scan", {target.address()});
  fixture.Start();
  for (const std::size_t size : {std::size_t{100}, std::size_t{100000}}) {
    RawSocket caller = fixture.Connect();
    caller.Send(
        "POST /scan HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
        "Content-Length: " +
        std::to_string(size) + "\r\n\r\n");
    cr_assert_eq(caller.ReadThrough("\r\n\r\n"),
                 "HTTP/1.1 100 Continue\r\n\r\n");
    caller.Send(std::string(size, 'a'));
    cr_assert_eq(ReadResponse(caller).status, 200);
  }
}

// Guards against an upload that continues although the target has already
// responded, and against losing that response.
Test(data_streaming, early_response_ends_the_upload) {
  FakeTarget target([](RawSocket& connection, const std::string& head) {
    const bool refuse = head.find("/refuse") != std::string::npos;
    connection.Send(refuse ? kNotRunAnswer
                           : "HTTP/1.1 413 Payload Too Large\r\n"
                             "Content-Length: 3\r\n\r\nbig");
    // Keeps the connection open without reading the body.
    connection.ReadThrough("never");
    return false;
  });
  DataFixture fixture;
  fixture.AddService("scan", {target.address()});
  fixture.Start();
  for (const char* path : {"/scan/refuse", "/scan/large"}) {
    RawSocket caller = fixture.Connect();
    caller.Send(std::string("POST ") + path +
                " HTTP/1.1\r\nHost: h\r\nContent-Length: 50000000\r\n\r\n" +
                std::string(100000, 'a'));
    const Response response = ReadResponse(caller);
    const bool refuse = std::string_view(path) == "/scan/refuse";
    cr_assert_eq(response.status, refuse ? 503 : 413);
    cr_assert_eq(response.Header("Snipehall-Verdict"), refuse ? "not-run" : "");
    cr_assert_eq(response.Header("Connection"), "close");
  }
}
