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

Test(buffer_budget, guaranteed_bytes_are_those_of_the_reservation) {
  BufferBudget budget(0);
  BufferBudget::Reservation without(budget, 0);
  cr_assert(!without.TryGrow(1));
  BufferBudget::Reservation large(budget, kStep);
  BufferBudget::Reservation moved = std::move(large);
  cr_assert(moved.TryGrow(kStep));
  cr_assert(!moved.TryGrow(1));
  without = std::move(moved);
  cr_assert(!without.TryGrow(1));
  without.Clear();
  cr_assert(without.TryGrow(kStep));
}

Test(buffer_budget, one_message_may_take_nearly_all_in_calm) {
  constexpr std::size_t kCalmPart = kCapacity / BufferBudget::kCalmDivisor;
  BufferBudget budget(kCapacity);
  BufferBudget::Reservation small(budget);
  cr_assert(small.TryGrow(kCalmPart));
  BufferBudget::Reservation large(budget);
  cr_assert(large.TryGrow(kCapacity - 2 * kCalmPart));
  cr_assert(!large.TryGrow(1));
}

Test(buffer_budget, a_message_may_take_half_of_the_rest_beside_others) {
  constexpr std::size_t kOthers = kCapacity / BufferBudget::kCalmDivisor + 1;
  BufferBudget budget(kCapacity);
  BufferBudget::Reservation other(budget);
  cr_assert(other.TryGrow(kOthers));
  BufferBudget::Reservation large(budget);
  const std::size_t share = (kCapacity - kOthers) / BufferBudget::kShareDivisor;
  cr_assert(large.TryGrow(share));
  cr_assert(!large.TryGrow(1));
  // What one message has taken in calm it keeps; others get a part of the rest.
  BufferBudget::Reservation third(budget);
  cr_assert(!third.TryGrow(share));
}

Test(buffer_budget, a_message_keeps_what_it_has) {
  BufferBudget budget(kCapacity);
  BufferBudget::Reservation large(budget);
  cr_assert(large.TryGrow(kCapacity / 4 * 3));
  BufferBudget::Reservation other(budget);
  cr_assert(other.TryGrow(kCapacity / 8));
  cr_assert(!large.TryGrow(1));
  cr_assert(large.TryGrow(0));
  cr_assert(large.size() == kCapacity / 4 * 3);
}

}  // namespace
}  // namespace snipehall
