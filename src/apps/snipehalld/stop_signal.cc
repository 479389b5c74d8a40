#include "apps/snipehalld/stop_signal.h"

#include <csignal>

namespace snipehall {

StopSignal::StopSignal() : m_signals(m_context, SIGTERM, SIGINT) {}

int StopSignal::Wait() {
  int received_signal = 0;
  m_signals.async_wait(
      [&received_signal](const boost::system::error_code& error,
                         int signal_number) {
        received_signal = error ? 0 : signal_number;
      });
  m_context.run();
  m_signals.clear();
  return received_signal;
}

}  // namespace snipehall
