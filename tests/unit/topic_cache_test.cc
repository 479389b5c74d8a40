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

}  // namespace
}  // namespace snipehall
