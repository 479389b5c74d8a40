#pragma once

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string_view>

#include "transport/byte_stream.h"

namespace snipehall {

// Body type for Beast's parsers that refers to the parser's input buffer
// instead of copying it. Read value_type::piece after each
// call of the parser's put().
struct ViewBody {
  // Beast requires the names `value_type` and `reader`.
  struct value_type {  // NOLINT(readability-identifier-naming)
    // The body bytes found by the last call to put().
    std::string_view piece;
  };

  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool is_request, typename Fields>
    reader(boost::beast::http::header<is_request, Fields>& /*header*/,
           value_type& value)
        : m_value(value) {}

    void init(const boost::optional<std::uint64_t>& /*length*/,
              boost::system::error_code& error) {
      error = {};
    }

    template <typename Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      const boost::asio::const_buffer buffer =
          *boost::asio::buffer_sequence_begin(buffers);
      m_value.piece = {static_cast<const char*>(buffer.data()), buffer.size()};
      error = {};
      return buffer.size();
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& m_value;
  };
};

// Consecutive body bytes in the read buffer of a stream.
struct BodyFragment {
  std::string_view bytes;
  // Number of bytes to pass to ByteStream::Consume() once `bytes` has been
  // used. Includes framing, such as chunk-size lines.
  std::size_t consumed = 0;
};

// Reads from `stream` until `parser`, whose header is complete, yields body
// bytes or reaches the end of the message; at the end, `piece` is empty. An end
// of file that delimits the body according to HTTP is not an error.
template <typename Parser>
Task<boost::system::error_code> ReadBodyFragment(ByteStream& stream,
                                                 Parser& parser,
                                                 BodyFragment& piece) {
  piece = {};
  while (!parser.is_done()) {
    const std::string_view input = stream.data();
    if (!input.empty()) {
      boost::system::error_code error;
      parser.get().body().piece = {};
      const std::size_t used =
          parser.put(boost::asio::buffer(input.data(), input.size()), error);
      if (error && error != boost::beast::http::error::need_more) {
        co_return error;
      }
      piece = {parser.get().body().piece, used};
      if (!piece.bytes.empty()) {
        co_return boost::system::error_code();
      }
      stream.Consume(used);
      if (used > 0) {
        continue;
      }
    }
    boost::system::error_code error = co_await stream.Fill();
    if (error == boost::asio::error::eof && parser.need_eof()) {
      parser.put_eof(error);
    }
    if (error) {
      co_return error;
    }
  }
  co_return boost::system::error_code();
}

}  // namespace snipehall
