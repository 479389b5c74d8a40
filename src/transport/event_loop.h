#pragma once

#include <boost/asio/io_context.hpp>

namespace snipehall {

// An event loop whose pending operations can be destroyed before the objects
// that they refer to. The base class does that only in its destructor, which
// runs after these objects are gone, because they need the loop's executor.
class EventLoop : public boost::asio::io_context {
 public:
  using boost::asio::io_context::io_context;

  // Destroys all pending handlers and suspended coroutines. Call it after run()
  // has returned; the loop cannot be run again.
  void DestroyPending() { shutdown(); }
};

}  // namespace snipehall
