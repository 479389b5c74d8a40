#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace snipehall {

// Catches SIGTERM and SIGINT from its construction on, until the first one
// has been waited for.
class StopSignal {
 public:
  StopSignal();

  // Blocks until a signal has come and returns its number. From then on the
  // signals have their default effect, so a second one ends the process.
  int Wait();

 private:
  boost::asio::io_context m_context{1};
  boost::asio::signal_set m_signals;
};

}  // namespace snipehall
