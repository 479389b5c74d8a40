#include "apps/snipehalld/stop_signal.h"

#include <csignal>

namespace snipehall {

StopSignal::StopSignal() : m_signals(m_context, SIGTERM, SIGINT) {}

int StopSignal::Wait() {
  int received = 0;
  m_signals.async_wait(
      [&received](const boost::system::error_code& error, int number) {
        received = error ? 0 : number;
      });
  m_context.run();
  m_signals.clear();
  return received;
}

}  // namespace snipehall
