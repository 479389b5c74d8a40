#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace snipehall {

// Handles SIGTERM and SIGINT from construction until Wait() returns. Construct
// it before the services start, so that no signal is missed.
class StopSignal {
 public:
  StopSignal();

  // Blocks until a signal arrives and returns its number. Afterwards the
  // signals have their default action again, so that a second one terminates
  // the process.
  int Wait();

 private:
  boost::asio::io_context m_context{1};
  boost::asio::signal_set m_signals;
};

}  // namespace snipehall
