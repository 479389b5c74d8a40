#include "coordination/buffer_budget.h"

#include <vector>

#include <criterion/criterion.h>

namespace snipehall {
namespace {

constexpr std::size_t kCapacity = std::size_t{20} << 20;
constexpr std::size_t kStep = 4096;

// Load: messages that grow without end, in equal steps, as long as they may.
std::vector<BufferBudget::Reservation> GrowWithoutEnd(BufferBudget& budget,
                                                      int count) {
  std::vector<BufferBudget::Reservation> messages;
  messages.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    messages.emplace_back(budget);
  }
  bool growing = true;
  while (growing) {
    growing = false;
    for (BufferBudget::Reservation& message : messages) {
      growing = message.TryGrow(kStep) || growing;
    }
  }
  return messages;
}

Test(buffer_budget, endless_messages_leave_room_for_others) {
  for (const int count : {1, 3, 50, 200}) {
    BufferBudget budget(kCapacity);
    const auto messages = GrowWithoutEnd(budget, count);
    cr_assert(budget.used() <= kCapacity, "%d messages took %zu bytes", count,
              budget.used());
    // Room for a hundred usual responses of 5 kB, each below its share.
    std::vector<BufferBudget::Reservation> usual;
    for (int i = 0; i < 100; ++i) {
      usual.emplace_back(budget);
      cr_assert(usual.back().TryGrow(5000), "no room beside %d messages",
                count);
    }
  }
}

Test(buffer_budget, memory_is_returned) {
  BufferBudget budget(kCapacity);
  {
    auto messages = GrowWithoutEnd(budget, 10);
    BufferBudget::Reservation moved = std::move(messages.front());
    cr_assert(moved.size() > 0);
    messages.clear();
    cr_assert(budget.used() == moved.size());
  }
  cr_assert(budget.used() == 0);
}

Test(buffer_budget, small_messages_always_fit) {
  BufferBudget budget(0);
  BufferBudget::Reservation message(budget);
  cr_assert(message.TryGrow(BufferBudget::kGuaranteedBytes));
  cr_assert(!message.TryGrow(1));
  BufferBudget::Reservation none;
  cr_assert(!none.TryGrow(1));
}

}  // namespace
}  // namespace snipehall
