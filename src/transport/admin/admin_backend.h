#pragma once

#include <functional>
#include <memory>

#include "transport/control_service.h"

namespace snipehall {

// Interface from the administration listener to the control service. The
// functions are called on the administration thread and must not block.
struct AdminBackend {
  // Returns the latest status; never null.
  std::function<std::shared_ptr<const ControlStatus>()> status;
  // Submits a record to the log; see ControlService::Submit(). The callback may
  // run on any thread.
  std::function<
      void(Record, MonotonicTime deadline, ControlService::SubmitCallback)>
      submit;
  // Returns whether the configuration and the assignments have been confirmed
  // at least once.
  std::function<bool()> ready;
};

}  // namespace snipehall
