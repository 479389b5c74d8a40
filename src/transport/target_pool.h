#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "transport/asio_types.h"
#include "transport/byte_stream.h"

namespace snipehall {

// Connection pool of one target address. Idle connections keep a read pending,
// so that a connection closed by the target leaves the pool immediately.
class TargetPool : public std::enable_shared_from_this<TargetPool> {
 public:
  // A connection checked out of the pool. The destructor closes it unless
  // Reuse() has returned it to the pool.
  class PooledConnection {
   public:
    PooledConnection() = default;
    PooledConnection(std::shared_ptr<TargetPool> pool,
                     std::shared_ptr<ByteStream> stream)
        : m_pool(std::move(pool)), m_stream(std::move(stream)) {}
    ~PooledConnection();
    PooledConnection(PooledConnection&& other) noexcept = default;
    PooledConnection& operator=(PooledConnection&&) = delete;

    ByteStream& stream() const { return *m_stream; }
    // Returns the connection to the pool for the next request. The pool closes
    // it if it has unread input or the limit is reached.
    void Reuse();

   private:
    std::shared_ptr<TargetPool> m_pool;
    std::shared_ptr<ByteStream> m_stream;
  };

  explicit TargetPool(boost::asio::ip::tcp::endpoint endpoint)
      : m_endpoint(std::move(endpoint)) {}

  // Sets the maximum number of open connections, including idle ones.
  void set_max_connections(int max_connections) {
    m_max_connections = max_connections;
  }
  int in_use() const { return m_in_use; }
  int idle() const { return static_cast<int>(m_idle.size()); }
  // Whether another connection may be checked out.
  bool HasCapacity() const { return m_in_use < m_max_connections; }

  // Checks out the most recently used idle connection, which the target is
  // least likely to close soon. Returns null if none is idle. Wrap the result
  // in a Lease.
  std::shared_ptr<ByteStream> TakeIdle();

  // Returns an unconnected stream, which counts as in use. Closes the oldest
  // idle connection if the limit is reached. Wrap the result in a Lease.
  std::shared_ptr<ByteStream> NewStream(const Executor& executor);

  const boost::asio::ip::tcp::endpoint& endpoint() const { return m_endpoint; }

  void CloseIdle();

 private:
  void Release(std::shared_ptr<ByteStream> stream, bool reusable);
  void RemoveIdle(const ByteStream* stream);

  boost::asio::ip::tcp::endpoint m_endpoint;
  int m_max_connections = 1;
  int m_in_use = 0;
  std::vector<std::shared_ptr<ByteStream>> m_idle;
};

// The connection pools of all targets, by address.
class TargetPools {
 public:
  // Returns the pool of `address` ("IP address:port"), creating it if needed.
  // Returns null if `address` is malformed.
  std::shared_ptr<TargetPool> Find(std::string_view address);

  // Removes pools without connections in use whose address fails `is_known`,
  // and closes their idle connections.
  template <typename Predicate>
  void Retain(Predicate is_known) {
    std::erase_if(m_pools, [&is_known](const auto& item) {
      if (is_known(item.first) || item.second->in_use() > 0) {
        return false;
      }
      item.second->CloseIdle();
      return true;
    });
  }

  void CloseIdle();
  // Totals over all pools.
  int in_use() const;
  int idle() const;

 private:
  std::map<std::string, std::shared_ptr<TargetPool>, std::less<>> m_pools;
};

}  // namespace snipehall
