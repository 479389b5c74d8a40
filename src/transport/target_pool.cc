#include "transport/target_pool.h"

#include <algorithm>

#include "transport/tcp_endpoint.h"

namespace snipehall {

TargetPool::PooledConnection::~PooledConnection() {
  if (m_pool) {
    m_pool->Release(std::move(m_stream), false);
  }
}

void TargetPool::PooledConnection::Reuse() {
  std::exchange(m_pool, nullptr)->Release(std::move(m_stream), true);
}

std::shared_ptr<ByteStream> TargetPool::TakeIdle(
    std::span<const std::weak_ptr<ByteStream>> excluded) {
  const auto found = std::find_if(
      m_idle.rbegin(), m_idle.rend(), [excluded](const auto& stream) {
        return std::none_of(
            excluded.begin(), excluded.end(),
            [&stream](const auto& other) { return other.lock() == stream; });
      });
  if (found == m_idle.rend()) {
    return nullptr;
  }
  std::shared_ptr<ByteStream> stream = std::move(*found);
  m_idle.erase(std::next(found).base());
  stream->set_on_input(nullptr);
  ++m_in_use;
  return stream;
}

std::shared_ptr<ByteStream> TargetPool::NewStream(const Executor& executor) {
  // Idle connections count towards the maximum, so the one that has been idle
  // longest is closed.
  if (!m_idle.empty() && m_in_use + idle() >= m_max_connections) {
    m_idle.front()->Close();
    m_idle.erase(m_idle.begin());
  }
  ++m_in_use;
  Socket socket(executor, m_endpoint.protocol());
  // An abandoned request must not reach the target later, so closing the socket
  // discards unsent data.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  return std::make_shared<ByteStream>(std::move(socket));
}

void TargetPool::Release(std::shared_ptr<ByteStream> stream, bool reusable) {
  --m_in_use;
  stream->set_on_input(nullptr);
  if (!reusable || stream->input_error() || !stream->data().empty() ||
      m_in_use + idle() >= m_max_connections) {
    stream->Close();
    return;
  }
  // Any input on an idle connection makes it unusable: it is either a close or
  // data without a request.
  stream->set_on_input([pool = weak_from_this(), raw_stream = stream.get()] {
    if (const auto self = pool.lock()) {
      self->RemoveIdle(raw_stream);
    }
  });
  stream->StartRead();
  m_idle.push_back(std::move(stream));
}

void TargetPool::RemoveIdle(const ByteStream* stream) {
  const auto found =
      std::find_if(m_idle.begin(), m_idle.end(),
                   [stream](const auto& item) { return item.get() == stream; });
  if (found != m_idle.end()) {
    boost::system::error_code ignored;
    (*found)->socket().close(ignored);
    m_idle.erase(found);
  }
}

void TargetPool::CloseIdle() {
  for (const auto& stream : m_idle) {
    stream->Close();
  }
  m_idle.clear();
}

std::shared_ptr<TargetPool> TargetPools::Find(std::string_view address) {
  const auto found = m_pools.find(address);
  if (found != m_pools.end()) {
    return found->second;
  }
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint) {
    return nullptr;
  }
  return m_pools
      .emplace(address, std::make_shared<TargetPool>(endpoint.value()))
      .first->second;
}

void TargetPools::CloseIdle() {
  for (const auto& [address, pool] : m_pools) {
    pool->CloseIdle();
  }
}

int TargetPools::in_use() const {
  int sum = 0;
  for (const auto& [address, pool] : m_pools) {
    sum += pool->in_use();
  }
  return sum;
}

int TargetPools::idle() const {
  int sum = 0;
  for (const auto& [address, pool] : m_pools) {
    sum += pool->idle();
  }
  return sum;
}

}  // namespace snipehall
