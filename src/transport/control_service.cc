#include "transport/control_service.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <optional>
#include <random>
#include <thread>
#include <utility>

#include "state/spsc_queue.h"
#include "transport/control_loop.h"
#include "transport/peer_link_service.h"

namespace snipehall {
namespace {

// A record that is passed from the submitting thread to the control thread.
struct Submission {
  Record record;
  MonotonicTime deadline;
  ControlService::SubmitCallback callback;
};

Incarnation GenerateIncarnation() {
  std::random_device device;
  std::uniform_int_distribution<Incarnation> distribution(1);
  return distribution(device);
}

}  // namespace

class ControlService::Impl {
 public:
  Impl(const Settings& settings,
       const ControllerOptions& options,
       Controller controller,
       std::shared_ptr<prometheus::Registry> registry)
      : m_work(m_context.get_executor()),
        m_loop(&m_context,
               settings,
               options.timing,
               std::move(controller),
               std::move(registry),
               &m_outputs),
        m_submission_queue(SubmissionTable::kMaxSubmissions) {}

  ~Impl() {
    if (!m_thread.joinable()) {
      return;
    }
    boost::asio::post(m_context, [this] {
      m_loop.Stop();
      m_work.reset();
    });
    m_thread.join();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  // Binds the listener for peers and starts the threads.
  Result<void> Start(const std::string& peer_address) {
    auto started = PeerLinkService::Start(
        peer_address, m_context.get_executor(), {}, m_loop.MakePeerHandlers());
    if (started.has_error()) {
      return started.error();
    }
    m_peer_links = std::move(started).value();
    m_loop.Start(m_peer_links.get());
    m_thread = std::thread([this] { m_context.run(); });
    return boost::outcome_v2::success();
  }

  void Submit(Submission submission) {
    if (!m_submission_queue.TryPush(submission)) {
      boost::asio::post(m_context, [callback = std::move(submission.callback)] {
        callback(Fail(ErrorCode::kBusy, "too many records are waiting"));
      });
      return;
    }
    boost::asio::post(m_context, [this] {
      while (std::optional<Submission> next = m_submission_queue.TryPop()) {
        m_loop.Submit(next->record, next->deadline, next->callback);
      }
    });
  }

  void Leave() {
    boost::asio::post(m_context, [this] { m_loop.Leave(); });
  }

  const ControlOutputs& outputs() const { return m_outputs; }
  const PeerLinkService& peer_links() const { return *m_peer_links; }

 private:
  // Declared first, so that the sockets and timers of the other members are
  // destroyed before it.
  boost::asio::io_context m_context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_work;
  ControlOutputs m_outputs;
  ControlLoop m_loop;
  SpscQueue<Submission> m_submission_queue;
  std::unique_ptr<PeerLinkService> m_peer_links;
  std::thread m_thread;
};

Result<std::unique_ptr<ControlService>> ControlService::Start(
    const Settings& settings,
    std::shared_ptr<prometheus::Registry> registry) {
  ControllerOptions options;
  options.self = settings.instance;
  options.zone = settings.zone;
  options.incarnation = GenerateIncarnation();
  Result<Controller> controller = Controller::Create(options);
  if (controller.has_error()) {
    return controller.error();
  }
  auto impl = std::make_unique<Impl>(
      settings, options, std::move(controller).value(), std::move(registry));
  const Result<void> started = impl->Start(settings.peer_address);
  if (started.has_error()) {
    return started.error();
  }
  return std::unique_ptr<ControlService>(new ControlService(std::move(impl)));
}

ControlService::ControlService(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

ControlService::~ControlService() = default;

std::string ControlService::peer_address() const {
  return m_impl->peer_links().address();
}

const AtomicSharedPtr<RoutingTable>& ControlService::routing_table() const {
  return m_impl->outputs().routing_table;
}

const AtomicSharedPtr<ControlStatus>& ControlService::status() const {
  return m_impl->outputs().status;
}

const std::atomic<MonotonicTime::rep>& ControlService::confirmed_until() const {
  return m_impl->outputs().confirmed_until;
}

void ControlService::Submit(Record record,
                            MonotonicTime deadline,
                            SubmitCallback callback) {
  m_impl->Submit({std::move(record), deadline, std::move(callback)});
}

void ControlService::Leave() {
  m_impl->Leave();
}

}  // namespace snipehall
