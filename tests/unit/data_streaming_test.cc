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

constexpr std::size_t kUpload = std::size_t{64} << 20;
constexpr std::size_t kBufferLimit = std::size_t{1} << 20;

// Bytes in allocated blocks of the whole process, and their peak.
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

// Sends `size` bytes from a static buffer; `sent` counts them.
bool SendMany(int fd, std::size_t size, std::atomic<std::size_t>& sent) {
  static const std::array<char, 65536> kBlockOfZeros = {};
  while (sent < size) {
    const ssize_t count =
        send(fd, kBlockOfZeros.data(),
             std::min(kBlockOfZeros.size(), size - sent), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Waits until `value` has not changed for 200 ms.
void AwaitStandstill(const std::atomic<std::size_t>& value) {
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

// Guards against an upload that is held in memory when the target reads
// slowly, and against bytes that get lost under backpressure.
Test(data_streaming, upload_is_held_back_and_costs_little_memory) {
  std::promise<void> release;
  std::promise<std::size_t> received;
  FakeTarget target([&](RawSocket& connection, const std::string& head) {
    if (head.starts_with("POST /control/")) {
      return connection.Send(kOkAnswer);
    }
    release.get_future().wait();
    received.set_value(connection.Drop(kUpload));
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
              std::to_string(kUpload) + "\r\n\r\n");
  std::atomic<std::size_t> sent = 0;
  auto sender = std::async(
      std::launch::async, [&] { return SendMany(caller.fd(), kUpload, sent); });
  AwaitStandstill(sent);
  // What was sent lies in the sockets' own buffers.
  cr_assert_lt(sent, kUpload);
  release.set_value();
  cr_assert(sender.get());
  const std::size_t size = received.get_future().get();
  cr_assert_eq(size, kUpload);
  cr_assert_lt(peak_bytes - before, static_cast<std::ptrdiff_t>(kBufferLimit));
  cr_assert_eq(ReadAnswer(caller).status, 200);
}

// Guards against an answer that is held in memory when the caller reads
// slowly.
Test(data_streaming, download_is_held_back_and_costs_little_memory) {
  std::atomic<std::size_t> sent = 0;
  FakeTarget target([&sent](RawSocket& connection, const std::string&) {
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                    std::to_string(kUpload) + "\r\n\r\n");
    return SendMany(connection.fd(), kUpload, sent);
  });
  DataFixture fixture;
  ServiceRoutes& routes = fixture.AddService("scan", {target.address()});
  routes.config.classes[0].default_deadline = Milliseconds(60000);
  fixture.Start();
  RawSocket caller = fixture.Connect();
  const std::ptrdiff_t before = live_bytes;
  peak_bytes = before;
  caller.Send(Get("/scan"));
  cr_assert(Eventually([&sent] { return sent > 0; }));
  AwaitStandstill(sent);
  cr_assert_lt(sent, kUpload);
  const std::string head = caller.ReadThrough("\r\n\r\n");
  cr_assert(head.starts_with("HTTP/1.1 200 "));
  const std::size_t size = caller.Drop(kUpload);
  cr_assert_eq(size, kUpload);
  cr_assert_lt(peak_bytes - before, static_cast<std::ptrdiff_t>(kBufferLimit));
}

// Guards against bytes that are lost or changed when a body is passed on in
// chunks, whatever their sizes.
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
    std::string answer =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < body.size(); at += 777) {
      const std::string piece = body.substr(at, 777);
      std::array<char, 32> line;
      const int length =
          std::snprintf(line.data(), line.size(), "%zx\r\n", piece.size());
      answer.append(line.data(), static_cast<std::size_t>(length));
      answer += piece + "\r\n";
    }
    return connection.Send(answer + "0\r\n\r\n");
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
    const Answer answer = ReadAnswer(caller);
    sender.get();
    cr_assert_eq(answer.status, 200);
    cr_assert(answer.whole);
    cr_assert(answer.body == body);
  }
  cr_assert_eq(target.connections(), 1);
}

// Guards against an answer without announced length that is taken for a cut
// one, and against answers without a body that wait for one.
Test(data_streaming, answers_without_length_and_without_body) {
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
  caller.Send(Get("/doc/none"));
  cr_assert_eq(ReadAnswer(caller).status, 204);
  caller.Send(Get("/doc"));
  const Answer answer = ReadAnswer(caller);
  cr_assert(answer.whole);
  cr_assert_eq(answer.body, "until the end");
}

// Guards against a caller that waits for "100 Continue" and never gets it.
Test(data_streaming, expectation_is_met) {
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
    cr_assert_eq(ReadAnswer(caller).status, 200);
  }
}

// Guards against an upload that goes on although the target has refused it,
// and against a refusal that is lost.
Test(data_streaming, early_answer_ends_the_upload) {
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
    const Answer answer = ReadAnswer(caller);
    const bool refuse = std::string_view(path) == "/scan/refuse";
    cr_assert_eq(answer.status, refuse ? 503 : 413);
    cr_assert_eq(answer.Header("Snipehall-Verdict"), refuse ? "not-run" : "");
    cr_assert_eq(answer.Header("Connection"), "close");
  }
}
