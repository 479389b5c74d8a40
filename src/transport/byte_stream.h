#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "transport/asio_types.h"
#include "transport/async_event.h"

namespace snipehall {

// A connection with a bounded read buffer. A read may be left pending while
// nothing is expected, so that the peer's close is noticed at once and without
// further system calls.
class ByteStream : public std::enable_shared_from_this<ByteStream> {
 public:
  // Up to four pieces that are written with one system call.
  using Buffers = std::array<boost::asio::const_buffer, 4>;

  static constexpr std::size_t kInitialCapacity = std::size_t{8} * 1024;
  // Upper bound of the read buffer. Two streams per request stay far below the
  // 1 MiB that a long body may cost.
  static constexpr std::size_t kMaxCapacity = std::size_t{64} * 1024;

  explicit ByteStream(Socket socket);

  // Bytes received and not consumed. Valid until the next call of Consume(),
  // StartRead() or Fill().
  std::string_view data() const {
    return {m_storage.get() + m_begin, m_end - m_begin};
  }
  void Consume(std::size_t size);

  // The error that ended the input, for example end of file.
  boost::system::error_code input_error() const { return m_input_error; }
  bool is_open() const { return m_socket.is_open(); }
  Socket& socket() { return m_socket; }

  // Called when a read has completed with data or an error, but not when it
  // was cancelled.
  void set_on_input(std::function<void()> on_input) {
    m_on_input = std::move(on_input);
  }

  // Starts a read unless one is pending, the input has ended or the buffer is
  // full.
  void StartRead();

  // Waits until more bytes are there. Fails with no_buffer_space when the
  // buffer is full, with operation_aborted after Cancel(), or with the error
  // that ended the input.
  Task<boost::system::error_code> Fill();

  // Writes all buffers. `written` counts the bytes that the socket took, also
  // on failure.
  Task<boost::system::error_code> Write(Buffers buffers, std::size_t& written);

  // Aborts pending operations; the stream stays open.
  void Cancel();
  void Close();
  // Announces the end of the output.
  void ShutdownSend();
  // Whether a byte that arrived is waiting in the socket.
  bool HasUnreadInput();

  // Frees a buffer that grew, when it holds nothing and no read is pending.
  void ShrinkIfIdle();

 private:
  void MakeRoom();

  Socket m_socket;
  std::unique_ptr<char[]> m_storage;
  std::size_t m_capacity = kInitialCapacity;
  std::size_t m_begin = 0;
  std::size_t m_end = 0;
  bool m_read_pending = false;
  boost::system::error_code m_input_error;
  AsyncEvent m_read_done;
  std::function<void()> m_on_input;
};

}  // namespace snipehall
