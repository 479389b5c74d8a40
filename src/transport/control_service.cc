#include "transport/control_service.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <optional>
#include <random>
#include <thread>
#include <utility>

#include "state/ring.h"
#include "transport/control_loop.h"
#include "transport/peer_link_service.h"

namespace snipehall {
namespace {

// A record on its way from the submitting thread to the control thread.
struct Submission {
  Record record;
  MonotonicTime deadline;
  ControlService::SubmitCallback callback;
};

Incarnation DrawIncarnation() {
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
        m_submissions(SubmissionTable::kLimit) {}

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

  // Binds the peer listener and starts the threads.
  Result<void> Start(const std::string& peer_address) {
    auto links = PeerLinkService::Start(peer_address, m_context.get_executor(),
                                        {}, m_loop.MakePeerHandlers());
    if (links.has_error()) {
      return links.error();
    }
    m_links = std::move(links).value();
    m_loop.Start(m_links.get());
    m_thread = std::thread([this] { m_context.run(); });
    return boost::outcome_v2::success();
  }

  void Submit(Submission submission) {
    if (!m_submissions.Push(submission)) {
      boost::asio::post(m_context, [callback = std::move(submission.callback)] {
        callback(Fail(ErrorCode::kBusy, "too many records are waiting"));
      });
      return;
    }
    boost::asio::post(m_context, [this] {
      while (std::optional<Submission> next = m_submissions.Pop()) {
        m_loop.Submit(next->record, next->deadline, next->callback);
      }
    });
  }

  void Leave() {
    boost::asio::post(m_context, [this] { m_loop.Leave(); });
  }

  const ControlOutputs& outputs() const { return m_outputs; }
  const PeerLinkService& links() const { return *m_links; }

 private:
  // First, so that the others' sockets and timers are destroyed before it.
  boost::asio::io_context m_context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_work;
  ControlOutputs m_outputs;
  ControlLoop m_loop;
  Ring<Submission> m_submissions;
  std::unique_ptr<PeerLinkService> m_links;
  std::thread m_thread;
};

Result<std::unique_ptr<ControlService>> ControlService::Start(
    const Settings& settings,
    std::shared_ptr<prometheus::Registry> registry) {
  ControllerOptions options;
  options.self = settings.instance;
  options.zone = settings.zone;
  options.incarnation = DrawIncarnation();
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
  return m_impl->links().address();
}

const Published<RoutingTable>& ControlService::routing_table() const {
  return m_impl->outputs().routing_table;
}

const Published<ControlStatus>& ControlService::status() const {
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
