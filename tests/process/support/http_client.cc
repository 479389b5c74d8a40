#include "process/support/http_client.h"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cctype>
#include <utility>

namespace snipehall::test {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds kExpectTimeout{10};
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{1} << 30;

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(
      lower.begin(), lower.end(), lower.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

}  // namespace

tcp::endpoint ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  Require(colon != std::string_view::npos,
          "address has no port: " + std::string(text));
  return {asio::ip::make_address(std::string(text.substr(0, colon))),
          static_cast<std::uint16_t>(
              std::stoi(std::string(text.substr(colon + 1))))};
}

std::string HttpClientResponse::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

http::request<http::string_body> ToRequest(
    const HttpClientRequest& http_request) {
  http::request<http::string_body> request(http_request.method,
                                           http_request.path, 11);
  request.set(http::field::host, "test");
  for (const auto& [name, value] : http_request.headers) {
    request.set(name, value);
  }
  request.body() = http_request.body;
  request.prepare_payload();
  return request;
}

HttpClientResponse ToResponse(http::response<http::string_body> response) {
  HttpClientResponse reply;
  reply.status = static_cast<int>(response.result_int());
  for (const auto& field : response) {
    const auto name = field.name_string();
    reply.headers[LowerCase({name.data(), name.size()})] =
        std::string(field.value());
  }
  reply.body = std::move(response.body());
  return reply;
}

std::optional<HttpClientResponse> HttpClient::Send(
    const HttpClientRequest& http_request,
    Clock::time_point deadline) {
  const auto request = ToRequest(http_request);
  http::response<http::string_body> response;
  if (!Exchange(request, response, deadline)) {
    m_stream.reset();
    return std::nullopt;
  }
  if (!response.keep_alive()) {
    m_stream.reset();
  }
  return ToResponse(std::move(response));
}

std::string HttpClient::Get(const std::string& path) {
  return SendExpectingOk({.method = http::verb::get, .path = path});
}

std::string HttpClient::Post(const std::string& path, std::string body) {
  return SendExpectingOk(
      {.method = http::verb::post, .path = path, .body = std::move(body)});
}

std::string HttpClient::Put(const std::string& path, std::string body) {
  return SendExpectingOk(
      {.method = http::verb::put, .path = path, .body = std::move(body)});
}

std::string HttpClient::SendExpectingOk(const HttpClientRequest& http_request) {
  const auto reply = Send(http_request, Clock::now() + kExpectTimeout);
  Require(reply.has_value(),
          "no response from " + m_address + http_request.path);
  Require(reply->status == 200, m_address + http_request.path + " answered " +
                                    std::to_string(reply->status) + ": " +
                                    reply->body);
  return reply->body;
}

bool HttpClient::Exchange(const http::request<http::string_body>& request,
                          http::response<http::string_body>& response,
                          Clock::time_point deadline) {
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  if (request.method() == http::verb::head) {
    parser.skip(true);
  }
  error_code result = asio::error::would_block;
  const auto read = [&](error_code failure, std::size_t /*bytes*/) {
    if (failure) {
      result = failure;
      return;
    }
    http::async_read(
        *m_stream, m_buffer, parser,
        [&result](error_code end, std::size_t /*bytes*/) { result = end; });
  };
  const auto write = [&](error_code failure) {
    if (failure) {
      result = failure;
      return;
    }
    http::async_write(*m_stream, request, read);
  };
  if (m_stream == nullptr) {
    m_buffer.clear();
    m_stream = std::make_unique<beast::tcp_stream>(m_context);
    m_stream->expires_at(deadline);
    m_stream->async_connect(ParseAddress(m_address), write);
  } else {
    m_stream->expires_at(deadline);
    write({});
  }
  m_context.restart();
  m_context.run();
  response = parser.release();
  return !result;
}

}  // namespace snipehall::test
