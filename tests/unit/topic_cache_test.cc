#include "state/topic_cache.h"

#include <string>

#include <criterion/criterion.h>

namespace snipehall {
namespace {

RecordPage MakePage(LogEra era,
                    std::uint64_t end,
                    std::vector<KeyedRecord> records) {
  RecordPage page;
  page.era = era;
  page.end_offset = end;
  page.records = std::move(records);
  return page;
}

Test(topic_cache, pages_are_read_from_an_offset_on) {
  TopicCache cache;
  cr_assert_not(cache.ReadNewest().has_value());
  cache.Reset(MakePage(1, 10, {{"a", "1"}}));
  cache.Add(MakePage(1, 11, {{"b", "2"}}));
  cache.Add(MakePage(1, 12, {{"a", ""}}));
  cr_assert_not(cache.Read({1, 9}).has_value());
  cr_assert_eq(cache.Read({1, 10})->records.size(), 2);
  cr_assert_eq(cache.Read({1, 11})->records.size(), 1);
  cr_assert(cache.Read({1, 12})->records.empty());
  cr_assert_not(cache.Read({1, 13}).has_value());
  const auto newest = cache.ReadNewest();
  cr_assert_eq(newest->records.size(), 1);
  cr_assert(newest->records.front() == (KeyedRecord{"b", "2"}));
  cr_assert(newest->end() == (TopicPosition{1, 12}));
}

// Guards against records of a lost part of the topic that pass for those which
// got their offsets after the log was restored.
Test(topic_cache, offsets_of_another_era_have_no_records) {
  TopicCache cache;
  cache.Reset(MakePage(1, 10, {}));
  cache.Add(MakePage(1, 12, {{"a", "lost"}}));
  cache.Reset(MakePage(2, 11, {{"a", "restored"}}));
  cr_assert_not(cache.Read({2, 10}).has_value());
  cr_assert_not(cache.Read({3, 11}).has_value());
  const auto page = cache.Read({1, 10});
  cr_assert(page.has_value());
  cr_assert(page->records.empty());
  cr_assert_eq(page->era, 2);
  cr_assert(cache.ReadNewest()->records.front() ==
            (KeyedRecord{"a", "restored"}));
}

// Guards against a cache, and responses, that grow with the records that were
// replaced since.
Test(topic_cache, replaced_records_are_not_read) {
  TopicCache cache;
  cache.Reset(MakePage(1, 10, {}));
  for (std::uint64_t end = 11; end <= 5000; ++end) {
    cache.Add(MakePage(1, end, {{"a", std::to_string(end)}}));
  }
  const auto page = cache.Read({1, 10});
  cr_assert(page.has_value());
  cr_assert_eq(page->records.size(), 1);
  cr_assert(page->records.front() == (KeyedRecord{"a", "5000"}));
  cr_assert(page->end() == (TopicPosition{1, 5000}));
}

// Guards against sending all readers to the log when their relay has skipped
// records itself.
Test(topic_cache, readers_continue_after_a_snapshot_of_the_same_era) {
  TopicCache cache;
  cache.Reset(MakePage(1, 10, {{"a", "1"}, {"b", "1"}, {"c", "1"}}));
  cache.Reset(MakePage(1, 20, {{"a", "1"}, {"b", "2"}}));
  const auto page = cache.Read({1, 10});
  cr_assert(page.has_value());
  cr_assert_eq(page->records.size(), 2);
  cr_assert(page->records[0] == (KeyedRecord{"b", "2"}));
  cr_assert(page->records[1] == (KeyedRecord{"c", ""}));
  cr_assert(page->end() == (TopicPosition{1, 20}));
  cr_assert_eq(cache.ReadNewest()->records.size(), 2);
}

// Guards against readers that never learn of a deletion.
Test(topic_cache, reads_from_before_forgotten_deletions_fail) {
  TopicCache cache;
  cache.Reset(MakePage(1, 0, {}));
  const std::uint64_t deletions = 3 * TopicCache::kMaxDeletedKeys;
  for (std::uint64_t end = 1; end <= deletions; ++end) {
    cache.Add(MakePage(1, end, {{std::to_string(end), ""}}));
  }
  cr_assert_not(cache.Read({1, 0}).has_value());
  for (std::uint64_t from = 0; from <= deletions; ++from) {
    const auto page = cache.Read({1, from});
    cr_assert(!page || page->records.size() == deletions - from);
  }
  cr_assert(cache.Read({1, deletions - 1}).has_value());
}

}  // namespace
}  // namespace snipehall
