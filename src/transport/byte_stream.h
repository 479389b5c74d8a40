#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "transport/asio_types.h"
#include "transport/async_event.h"

namespace snipehall {

// A TCP connection with a bounded read buffer. A read can stay pending while no
// input is expected, so that a close by the peer is detected immediately
// without polling the socket. Must be owned by a std::shared_ptr and used on
// one thread.
class ByteStream : public std::enable_shared_from_this<ByteStream> {
 public:
  // Up to four buffers, written with one system call. Unused entries are empty.
  using Buffers = std::array<boost::asio::const_buffer, 4>;

  static constexpr std::size_t kInitialCapacityBytes = std::size_t{8} * 1024;
  // Upper limit of the read buffer. A request uses two streams, which keeps its
  // buffers far below the 1 MiB allowed for a request with a long body.
  static constexpr std::size_t kMaxCapacityBytes = std::size_t{64} * 1024;

  explicit ByteStream(Socket socket);

  // Returns the bytes received and not yet consumed. The view is valid until
  // the next call to Consume(), StartRead() or Fill().
  std::string_view data() const {
    return {m_storage.get() + m_begin, m_end - m_begin};
  }
  // Number of bytes received in all, including those consumed.
  std::uint64_t received_bytes() const { return m_received_bytes; }
  // Discards up to `size` bytes from the front of data().
  void Consume(std::size_t size);

  // Returns the error that ended the input, for example end of file; no error
  // while more input may arrive.
  boost::system::error_code input_error() const { return m_input_error; }
  bool is_open() const { return m_socket.is_open(); }
  Socket& socket() { return m_socket; }

  // Sets a callback for reads that complete with data or an error. It is not
  // called for cancelled reads.
  void set_on_input(std::function<void()> on_input) {
    m_on_input = std::move(on_input);
  }

  // Starts an asynchronous read unless one is pending, the input has ended or
  // the buffer is full.
  void StartRead();

  // Waits until more bytes have been received. Fails with no_buffer_space when
  // the buffer is full, with operation_aborted after Cancel(), or with the
  // error that ended the input.
  Task<boost::system::error_code> Fill();

  // Writes all buffers. Adds the number of bytes accepted by the socket to
  // `written`, also on failure.
  Task<boost::system::error_code> Write(Buffers buffers, std::size_t& written);

  // Aborts pending reads and writes; the stream stays open.
  void Cancel();
  // Clears the input callback and closes the socket.
  void Close();
  // Shuts down the sending side of the connection.
  void ShutdownSend();
  // Returns whether unconsumed bytes are in the read buffer or in the socket.
  bool HasUnreadInput();
  // Returns whether the peer has closed or reset the connection, also when no
  // read has reported that yet. A close behind unread bytes is not detected.
  bool IsClosedByPeer();

  // Replaces an enlarged buffer by one of the initial size if it is empty and
  // no read is pending.
  void ShrinkIfIdle();

 private:
  // Compacts or enlarges the buffer if less than kMinReadBytes are free.
  void ReserveReadSpace();

  Socket m_socket;
  std::unique_ptr<char[]> m_storage;
  std::size_t m_capacity = kInitialCapacityBytes;
  std::size_t m_begin = 0;
  std::size_t m_end = 0;
  std::uint64_t m_received_bytes = 0;
  bool m_read_pending = false;
  boost::system::error_code m_input_error;
  AsyncEvent m_read_done;
  std::function<void()> m_on_input;
};

}  // namespace snipehall
