#include "transport/byte_stream.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <cstring>
#include <utility>

namespace snipehall {

namespace {

using boost::system::error_code;

// Free buffer space below which a read is not worth a system call.
constexpr std::size_t kMinReadBytes = 1024;

}  // namespace

ByteStream::ByteStream(Socket socket)
    : m_socket(std::move(socket)),
      m_storage(std::make_unique_for_overwrite<char[]>(kInitialCapacityBytes)),
      m_read_done(m_socket.get_executor()) {
  error_code ignored;
  m_socket.non_blocking(true, ignored);
  m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void ByteStream::Consume(std::size_t size) {
  m_begin += std::min(size, m_end - m_begin);
  if (m_begin == m_end && !m_read_pending) {
    m_begin = 0;
    m_end = 0;
  }
}

void ByteStream::ReserveReadSpace() {
  const std::size_t size = m_end - m_begin;
  if (m_begin > 0 && m_capacity - m_end < kMinReadBytes) {
    std::memmove(m_storage.get(), m_storage.get() + m_begin, size);
    m_begin = 0;
    m_end = size;
  }
  if (m_capacity - m_end < kMinReadBytes && m_capacity < kMaxCapacityBytes) {
    const std::size_t capacity = std::min(m_capacity * 2, kMaxCapacityBytes);
    auto storage = std::make_unique_for_overwrite<char[]>(capacity);
    std::memcpy(storage.get(), m_storage.get() + m_begin, size);
    m_storage = std::move(storage);
    m_capacity = capacity;
    m_begin = 0;
    m_end = size;
  }
}

void ByteStream::StartRead() {
  if (m_read_pending || m_input_error) {
    return;
  }
  ReserveReadSpace();
  if (m_end == m_capacity) {
    return;
  }
  m_read_pending = true;
  m_socket.async_read_some(
      boost::asio::buffer(m_storage.get() + m_end, m_capacity - m_end),
      [self = shared_from_this()](error_code error, std::size_t size) {
        self->m_read_pending = false;
        self->m_end += size;
        self->m_received_bytes += size;
        const bool cancelled = error == boost::asio::error::operation_aborted;
        if (error && !cancelled) {
          self->m_input_error = error;
        }
        self->m_read_done.Notify();
        if (!cancelled && self->m_on_input) {
          self->m_on_input();
        }
      });
}

Task<error_code> ByteStream::Fill() {
  if (m_input_error) {
    co_return m_input_error;
  }
  const std::size_t size_before = m_end - m_begin;
  StartRead();
  if (!m_read_pending) {
    co_return error_code(boost::asio::error::no_buffer_space);
  }
  while (m_read_pending) {
    co_await m_read_done.Wait();
  }
  if (m_end - m_begin > size_before) {
    co_return error_code();
  }
  if (m_input_error) {
    co_return m_input_error;
  }
  co_return error_code(boost::asio::error::operation_aborted);
}

Task<error_code> ByteStream::Write(Buffers buffers, std::size_t& written) {
  std::size_t remaining = boost::asio::buffer_size(buffers);
  while (remaining > 0) {
    error_code error;
    // The socket buffer nearly always accepts a small message immediately. A
    // synchronous attempt first avoids a pass through the event loop.
    std::size_t size = m_socket.write_some(buffers, error);
    if (error == boost::asio::error::would_block) {
      const auto [async_error, async_size] =
          co_await m_socket.async_write_some(buffers, kAsTuple);
      error = async_error;
      size = async_size;
    }
    written += size;
    if (error) {
      co_return error;
    }
    remaining -= size;
    for (auto& buffer : buffers) {
      const std::size_t taken = std::min(size, buffer.size());
      buffer += taken;
      size -= taken;
    }
  }
  co_return error_code();
}

void ByteStream::Cancel() {
  error_code ignored;
  m_socket.cancel(ignored);
}

void ByteStream::Close() {
  m_on_input = nullptr;
  error_code ignored;
  m_socket.close(ignored);
}

void ByteStream::ShutdownSend() {
  error_code ignored;
  m_socket.shutdown(boost::asio::socket_base::shutdown_send, ignored);
}

bool ByteStream::HasUnreadInput() {
  error_code ignored;
  return m_end > m_begin || m_socket.available(ignored) > 0;
}

bool ByteStream::IsClosedByPeer() {
  if (m_input_error) {
    return true;
  }
  char byte = 0;
  error_code error;
  m_socket.receive(boost::asio::buffer(&byte, 1), Socket::message_peek, error);
  return error && error != boost::asio::error::would_block;
}

void ByteStream::ShrinkIfIdle() {
  if (m_read_pending || m_begin != m_end ||
      m_capacity == kInitialCapacityBytes) {
    return;
  }
  m_storage = std::make_unique_for_overwrite<char[]>(kInitialCapacityBytes);
  m_capacity = kInitialCapacityBytes;
  m_begin = 0;
  m_end = 0;
}

}  // namespace snipehall
