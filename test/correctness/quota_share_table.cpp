// Guards the sum of the shares and the waits of a reclaim: if two instances use
// the same share at once, the fleet exceeds every limit.

#include <parsleyplank/quota/share_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::quota;

namespace
{

class quota_share_table : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_share_table);
    CPPUNIT_TEST(every_change_keeps_the_sum);
    CPPUNIT_TEST(wrong_holders_are_rejected);
    CPPUNIT_TEST(decoding_rejects_shares_above_the_total);
    CPPUNIT_TEST(reclaim_counts_only_time_with_the_store);
    CPPUNIT_TEST(pause_of_the_reclaimer_does_not_count);
    CPPUNIT_TEST(restored_share_starts_the_wait_anew);
    CPPUNIT_TEST_SUITE_END();

    const member a{instance_id("a"), incarnation(1)};
    const member b{instance_id("b"), incarnation(1)};
    const member c{instance_id("c"), incarnation(1)};
    const std::vector<member> all{a, b, c};
    const milliseconds wait =
        reclaim_wait(milliseconds(3'000), milliseconds(500));

    static std::uint32_t sum(const share_table& table)
    {
        std::uint32_t n = 0;
        for (const auto& it : table.holders)
            n += it.share.value;
        return n;
    }

public:
    void every_change_keeps_the_sum()
    {
        auto table = create_share_table(a);
        table = donate(table, a, even_split(table, a, all));
        CPPUNIT_ASSERT_EQUAL(333'333U, usable_share(table, b).value);
        CPPUNIT_ASSERT(even_split(table, a, all).empty());
        table = hand_over(table, c, std::vector{a, b});
        CPPUNIT_ASSERT(find_holder(table, c) == nullptr);
        table = revoke(table, b);
        CPPUNIT_ASSERT_EQUAL(0U, usable_share(table, b).value);
        CPPUNIT_ASSERT(restore(table, b).holders.size() == 2);
        table = redistribute(table, b, std::vector{a, c});
        CPPUNIT_ASSERT(find_holder(table, c)->entry_epoch == table.number);
        CPPUNIT_ASSERT_EQUAL(ppm_total, sum(table));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), table.number.value);
        CPPUNIT_ASSERT(unpack_share_table(pack_share_table(table)) == table);
    }

    void wrong_holders_are_rejected()
    {
        const auto table = create_share_table(a);
        const member restarted{a.instance, incarnation(2)};
        CPPUNIT_ASSERT_EQUAL(0U, usable_share(table, restarted).value);
        CPPUNIT_ASSERT_THROW(hand_over(table, restarted, all), error);
        CPPUNIT_ASSERT_THROW(hand_over(table, a, {}), error);
        CPPUNIT_ASSERT_THROW(redistribute(table, a, all), error);
        CPPUNIT_ASSERT_THROW(revoke(revoke(table, a), a), error);
        const std::vector<donation> twice{{b, share_ppm{600'000}},
                                          {c, share_ppm{600'000}}};
        CPPUNIT_ASSERT_THROW(donate(table, a, twice), error);
    }

    void decoding_rejects_shares_above_the_total()
    {
        auto table = create_share_table(a);
        table.holders.push_back({b, share_ppm{1}, epoch(1), epoch(0)});
        CPPUNIT_ASSERT_THROW(unpack_share_table(pack_share_table(table)),
                             codec_error);
    }

    void reclaim_counts_only_time_with_the_store()
    {
        const auto table = create_share_table(a);
        const std::vector<member> listed{b};
        reclaim_watch watch;
        time_point now{std::chrono::hours(1)};
        const auto seconds_until_due = [&](int limit)
        {
            for (int n = 0; n < limit; ++n)
            {
                const auto due =
                    update_reclaim_watch(watch, table, listed, true, wait, now);
                if (!due.empty())
                    return n;
                now += std::chrono::seconds(1);
            }
            return limit;
        };
        CPPUNIT_ASSERT_EQUAL(6, seconds_until_due(6));
        update_reclaim_watch(watch, table, listed, false, wait, now);
        CPPUNIT_ASSERT_EQUAL(7, seconds_until_due(20));
        // A listed holder is not reclaimed at all.
        CPPUNIT_ASSERT(
            update_reclaim_watch(watch, table, std::vector{a}, true, wait, now)
                .empty());
    }

    void pause_of_the_reclaimer_does_not_count()
    {
        const auto table = create_share_table(a);
        reclaim_watch watch;
        const time_point now{std::chrono::hours(1)};
        update_reclaim_watch(watch, table, {}, true, wait, now);
        CPPUNIT_ASSERT(update_reclaim_watch(watch, table, {}, true, wait,
                                            now + std::chrono::hours(1))
                           .empty());
    }

    void restored_share_starts_the_wait_anew()
    {
        auto table = revoke(create_share_table(a), a);
        reclaim_watch watch;
        time_point now{std::chrono::hours(1)};
        for (int n = 0; n < 5; ++n, now += std::chrono::seconds(1))
            CPPUNIT_ASSERT(
                update_reclaim_watch(watch, table, {}, true, wait, now)
                    .empty());
        table = revoke(restore(table, a), a);
        for (int n = 0; n < 7; ++n, now += std::chrono::seconds(1))
            CPPUNIT_ASSERT(
                update_reclaim_watch(watch, table, {}, true, wait, now)
                    .empty());
        const auto due =
            update_reclaim_watch(watch, table, {}, true, wait, now);
        CPPUNIT_ASSERT(due.size() == 1 &&
                       due[0].action == reclaim_action::redistribute);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_share_table);

} // namespace
