#pragma once

#include <functional>
#include <memory>

#include "transport/control_service.h"

namespace snipehall {

// What the administration listener needs of the rest of the daemon. The
// functions are called on the admin thread and must not block.
struct AdminBackend {
  // The newest status; never null.
  std::function<std::shared_ptr<const ControlStatus>()> status;
  // See ControlService::Submit(). The callback may run on any thread.
  std::function<
      void(Record, MonotonicTime deadline, ControlService::SubmitCallback)>
      submit;
  // Whether configuration and assignments have been confirmed once.
  std::function<bool()> ready;
};

}  // namespace snipehall
