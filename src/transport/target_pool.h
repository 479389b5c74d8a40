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

// Connections to one target address. Idle connections keep a read pending, so
// that those which the target closes leave the pool at once.
class TargetPool : public std::enable_shared_from_this<TargetPool> {
 public:
  // A connection in use. It is closed unless it is given back as reusable.
  class Lease {
   public:
    Lease() = default;
    Lease(std::shared_ptr<TargetPool> pool, std::shared_ptr<ByteStream> stream)
        : m_pool(std::move(pool)), m_stream(std::move(stream)) {}
    ~Lease();
    Lease(Lease&& other) noexcept = default;
    Lease& operator=(Lease&&) = delete;

    ByteStream& stream() const { return *m_stream; }
    // Keeps the connection for the next request.
    void Reuse();

   private:
    std::shared_ptr<TargetPool> m_pool;
    std::shared_ptr<ByteStream> m_stream;
  };

  explicit TargetPool(boost::asio::ip::tcp::endpoint endpoint)
      : m_endpoint(std::move(endpoint)) {}

  // Bound of open connections, idle ones included.
  void set_limit(int limit) { m_limit = limit; }
  int in_use() const { return m_in_use; }
  int idle() const { return static_cast<int>(m_idle.size()); }
  bool HasRoom() const { return m_in_use < m_limit; }

  // The connection that was used last, which is the least likely to be closed
  // by the target soon. Null when none is idle.
  std::shared_ptr<ByteStream> TakeIdle();

  // A stream that is not connected yet; counts as in use.
  std::shared_ptr<ByteStream> NewStream(const Executor& executor);

  const boost::asio::ip::tcp::endpoint& endpoint() const { return m_endpoint; }

  void CloseIdle();

 private:
  void Release(std::shared_ptr<ByteStream> stream, bool reusable);
  void RemoveIdle(const ByteStream* stream);

  boost::asio::ip::tcp::endpoint m_endpoint;
  int m_limit = 1;
  int m_in_use = 0;
  std::vector<std::shared_ptr<ByteStream>> m_idle;
};

// The pools of all targets, by address.
class TargetPools {
 public:
  // The pool of "IP-number:port", or null when the text is no such address.
  std::shared_ptr<TargetPool> Find(std::string_view address);

  // Drops idle connections to addresses for which `is_known` is false.
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
  int in_use() const;
  int idle() const;

 private:
  std::map<std::string, std::shared_ptr<TargetPool>, std::less<>> m_pools;
};

}  // namespace snipehall
