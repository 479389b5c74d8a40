#pragma once

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "transport/asio_types.h"
#include "transport/byte_stream.h"

namespace snipehall {

// Connection pool of one target address. A connection is either in use by one
// request or idle. The pool reads from idle connections, so that one that the
// target closes is removed immediately. Use it on one thread.
class TargetPool : public std::enable_shared_from_this<TargetPool> {
 public:
  // A connection in use. The destructor closes it unless Reuse() has returned
  // it to the pool.
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
    // Returns the connection to the pool for the next request and leaves this
    // object empty; call it at most once. The pool closes the connection if it
    // has failed, has unread input, or is above the maximum of open
    // connections.
    void Reuse();

   private:
    std::shared_ptr<TargetPool> m_pool;
    std::shared_ptr<ByteStream> m_stream;
  };

  explicit TargetPool(boost::asio::ip::tcp::endpoint endpoint)
      : m_endpoint(std::move(endpoint)) {}

  // Sets the maximum number of open connections, in use and idle; 1 by default.
  // A lower maximum closes none at once: NewStream() and Reuse() apply it.
  void set_max_connections(int max_connections) {
    m_max_connections = max_connections;
  }
  int in_use() const { return m_in_use; }
  int idle() const { return static_cast<int>(m_idle.size()); }
  // Returns whether fewer connections than the maximum are in use.
  bool HasCapacity() const { return m_in_use < m_max_connections; }

  // Returns the most recently used idle connection, which the target is least
  // likely to close soon, and counts it as in use. Never returns one of
  // `excluded`. Returns null if no other is idle. Wrap the result in a
  // PooledConnection.
  std::shared_ptr<ByteStream> TakeIdle(
      std::span<const std::weak_ptr<ByteStream>> excluded = {});

  // Returns a new stream, which counts as in use; the caller connects it to
  // endpoint(). If the maximum of open connections is reached, closes the one
  // that has been idle longest, if any. Does not check HasCapacity(). Wrap the
  // result in a PooledConnection.
  std::shared_ptr<ByteStream> NewStream(const Executor& executor);

  const boost::asio::ip::tcp::endpoint& endpoint() const { return m_endpoint; }

  // Closes all idle connections. Connections in use stay open.
  void CloseIdle();

 private:
  // Ends the use of a connection: keeps it as idle if `reusable` and possible,
  // otherwise closes it.
  void Release(std::shared_ptr<ByteStream> stream, bool reusable);
  void RemoveIdle(const ByteStream* stream);

  boost::asio::ip::tcp::endpoint m_endpoint;
  int m_max_connections = 1;
  int m_in_use = 0;
  std::vector<std::shared_ptr<ByteStream>> m_idle;
};

// The connection pools of all targets, by address. Use it on one thread.
class TargetPools {
 public:
  // Returns the pool of `address` ("IP address:port"), which it creates if
  // there is none yet. Returns null if `address` is malformed.
  std::shared_ptr<TargetPool> Find(std::string_view address);

  // Removes the pools for whose address `is_known` returns false, and closes
  // their idle connections. Keeps pools that have connections in use.
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

  // Closes the idle connections of all pools.
  void CloseIdle();
  // Numbers of connections in use and idle in all pools.
  int in_use() const;
  int idle() const;

 private:
  std::map<std::string, std::shared_ptr<TargetPool>, std::less<>> m_pools;
};

}  // namespace snipehall
