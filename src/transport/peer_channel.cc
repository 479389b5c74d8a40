#include "transport/peer_channel.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <cerrno>
#include <system_error>
#include <utility>

namespace snipehall {

Result<std::shared_ptr<PeerChannel>> PeerChannel::Create(
    std::size_t capacity,
    boost::asio::any_io_executor control,
    OnMessage on_message) {
  const int wake_fd = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (wake_fd < 0) {
    return Fail(
        ErrorCode::kUnavailable,
        "cannot create an eventfd: " + std::generic_category().message(errno));
  }
  return std::shared_ptr<PeerChannel>(new PeerChannel(
      capacity, std::move(control), std::move(on_message), wake_fd));
}

PeerChannel::PeerChannel(std::size_t capacity,
                         boost::asio::any_io_executor control,
                         OnMessage on_message,
                         int wake_fd)
    : m_link_thread_queue(capacity),
      m_control_thread_queue(capacity),
      m_control_executor(std::move(control)),
      m_on_message(std::move(on_message)),
      m_wake_fd(wake_fd) {}

PeerChannel::~PeerChannel() {
  ::close(m_wake_fd);
}

bool PeerChannel::PushToLinkThread(LinkThreadMessage message) {
  if (!m_link_thread_queue.TryPush(message)) {
    ++m_dropped;
    return false;
  }
  Wake();
  return true;
}

void PeerChannel::Wake() {
  const std::uint64_t one = 1;
  // Fails only when the counter is at its maximum; the eventfd is readable
  // then.
  [[maybe_unused]] const ssize_t size = ::write(m_wake_fd, &one, sizeof(one));
}

void PeerChannel::ClearWakeup() {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t size =
      ::read(m_wake_fd, &count, sizeof(count));
}

bool PeerChannel::PushToControlThread(
    const std::shared_ptr<PeerChannel>& channel,
    ControlThreadMessage message) {
  if (!channel->m_control_thread_queue.TryPush(message)) {
    ++channel->m_dropped;
    return false;
  }
  if (!channel->m_delivery_scheduled.exchange(true)) {
    boost::asio::post(channel->m_control_executor,
                      [channel] { channel->DeliverToControlThread(); });
  }
  return true;
}

void PeerChannel::DeliverToControlThread() {
  m_delivery_scheduled = false;
  while (std::optional<ControlThreadMessage> message =
             m_control_thread_queue.TryPop()) {
    if (!m_closed) {
      m_on_message(*message);
    }
  }
}

}  // namespace snipehall
