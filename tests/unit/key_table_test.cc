#include "state/key_table.h"

#include <random>

#include "coordination/key_topic_cursor.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

// A random division of all keys; tokens are from 1 to `max_token`, and equal
// ones mean the same owner.
std::vector<KeyAssignment> MakeRanges(std::mt19937_64& random, int max_token) {
  std::vector<KeyAssignment> ranges;
  KeyNumber first = 0;
  while (first <= kLastKey) {
    KeyAssignment range;
    range.first = first;
    range.last = std::min<KeyNumber>(
        kLastKey, first + static_cast<KeyNumber>(random() % 20000));
    range.fencing_token = 1 + random() % static_cast<std::uint64_t>(max_token);
    range.owner = "target-" + std::to_string(range.fencing_token);
    if (random() % 3 == 0) {
      range.previous_owner = "former-" + std::to_string(range.fencing_token);
    }
    ranges.push_back(range);
    first = range.last + 1;
  }
  return ranges;
}

KeyTable MakeTable(std::vector<KeyAssignment> ranges) {
  KeyTable table;
  table.services["catalog"] = std::move(ranges);
  return table;
}

Test(key_table, merge_takes_the_greater_token_of_each_key) {
  std::mt19937_64 random(1);
  for (int run = 0; run < 200; ++run) {
    const KeyTable left = MakeTable(MakeRanges(random, 12));
    const KeyTable right = MakeTable(MakeRanges(random, 12));
    KeyTable merged = left;
    MergeServices(merged, right);
    KeyNumber next = 0;
    for (const KeyAssignment& range : merged.services["catalog"]) {
      cr_assert_eq(range.first, next);
      next = range.last + 1;
    }
    cr_assert_eq(next, kLastKey + 1);
    bool newer = false;
    for (KeyNumber key = 0; key <= kLastKey; key += 37) {
      const KeyAssignment& a = *left.Find("catalog", key);
      const KeyAssignment& b = *right.Find("catalog", key);
      const KeyAssignment& both = *merged.Find("catalog", key);
      cr_assert_eq(both.fencing_token,
                   std::max(a.fencing_token, b.fencing_token));
      cr_assert_eq(both.owner, "target-" + std::to_string(both.fencing_token));
      cr_assert(a.fencing_token != b.fencing_token ||
                both.moving() == (a.moving() && b.moving()));
      newer = newer || a.fencing_token > b.fencing_token;
    }
    cr_assert(!newer || HasNewerAssignments(left, right));
    cr_assert_not(HasNewerAssignments(left, merged));
    cr_assert_not(HasNewerAssignments(right, merged));
  }
}

Test(key_table, unknown_service_is_merged_as_it_is) {
  std::mt19937_64 random(2);
  KeyTable table;
  const KeyTable other = MakeTable(MakeRanges(random, 5));
  cr_assert(HasNewerAssignments(other, table));
  MergeServices(table, other);
  cr_assert(table.services == other.services);
}

// Guards against tokens that are assigned twice, before and after a restore.
Test(key_table, tokens_of_a_later_era_are_greater) {
  cr_assert_eq(EraBase(0), 0);
  cr_assert_eq(EraBase(kFirstLogEra), 0);
  cr_assert_gt(EraBase(2), 1000000000);
  cr_assert_gt(EraBase(3), EraBase(2) + 1000000000);
}

RecordPage MakePage(LogEra era, std::uint64_t end, int received_s) {
  RecordPage page;
  page.era = era;
  page.end_offset = end;
  page.received_at = MonotonicTime(std::chrono::seconds(received_s));
  return page;
}

Test(key_topic_cursor, page_of_a_new_era_has_news_whatever_its_offset) {
  KeyTopicCursor cursor;
  cr_assert(cursor.OnPage(MakePage(1, 20, 100)).new_era);
  cr_assert_not(cursor.OnPage(MakePage(1, 20, 101)).has_news);
  const auto older = cursor.OnPage(MakePage(1, 19, 102));
  cr_assert(!older.has_news && !older.is_newest);
  const auto restored = cursor.OnPage(MakePage(2, 15, 104));
  cr_assert(restored.new_era && restored.has_news && restored.is_newest);
  cr_assert(restored.followed_previous_era);
  cr_assert(cursor.position() == (TopicPosition{2, 15}));
  // An era was missed.
  cr_assert_not(cursor.OnPage(MakePage(4, 15, 105)).followed_previous_era);
  // The end of the era before was not followed.
  cr_assert_not(cursor.OnPage(MakePage(5, 15, 113)).followed_previous_era);
}

// Guards against a leader that takes an append to the restored log, which
// happened to end at the expected offset, for one to the log that it knew.
Test(key_topic_cursor, append_in_another_era_is_not_adopted) {
  KeyTopicCursor cursor;
  cursor.OnPage(MakePage(1, 20, 100));
  cr_assert_not(cursor.OnAppended({1, 20}, {2, 21}));
  cr_assert(cursor.OnAppended({1, 20}, {1, 21}));
  cr_assert_not(cursor.OnAppended({1, 20}, {1, 21}));
}

}  // namespace
}  // namespace snipehall
