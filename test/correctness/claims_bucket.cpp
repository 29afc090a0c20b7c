// Guards group commit, sealing, retention and the limits of a claims writer.
// Claims or a whole bucket would be lost by a value over the store's limit, a
// sealed claim that new writers do not load, an overwritten head that can't be
// decoded, or an unbounded queue.

#include "support/claims_cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::test;
using namespace parsleyplank::claims;

namespace
{

cluster_settings one_bucket()
{
    cluster_settings settings;
    settings.buckets = 1;
    settings.response_size = 3'000;
    settings.writer.segment_bytes = min_segment_bytes;
    return settings;
}

// Submits orders one after the other, each to the next instance.
void submit_orders(claims_cluster& cluster, int first, int last)
{
    for (int n = first; n < last; ++n)
    {
        cluster.submit(n % 3, "order-" + std::to_string(n), "body");
        cluster.run_for(milliseconds(150));
    }
}

std::size_t count_outcome(const claims_cluster& cluster, run_outcome outcome)
{
    return std::ranges::count_if(
        cluster.requests, [&](const caller_request& it)
        { return it.answered && it.outcome == outcome; });
}

class claims_bucket : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claims_bucket);
    CPPUNIT_TEST(sealed_claims_are_loaded_by_new_writers);
    CPPUNIT_TEST(retention_deletes_the_oldest_segments);
    CPPUNIT_TEST(full_bucket_refuses_until_retention);
    CPPUNIT_TEST(claims_share_writes_within_the_budget);
    CPPUNIT_TEST(full_queue_refuses_and_loses_no_claim);
    CPPUNIT_TEST(damaged_head_is_not_overwritten);
    CPPUNIT_TEST(completed_claim_is_not_released);
    CPPUNIT_TEST(undefined_state_is_rejected);
    CPPUNIT_TEST(settings_out_of_range_are_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void sealed_claims_are_loaded_by_new_writers()
    {
        claims_cluster cluster(one_bucket());
        submit_orders(cluster, 0, 30);
        cluster.run_for(milliseconds(2'000));
        CPPUNIT_ASSERT(cluster.store.current.size() > 4);
        for (const auto& [key, value] : cluster.store.current)
            CPPUNIT_ASSERT(value.first.size() <= min_segment_bytes);
        for (std::size_t n = 0; n < 3; ++n)
            cluster.restart(n);
        submit_orders(cluster, 0, 30);
        CPPUNIT_ASSERT_EQUAL(std::string(), cluster.violation());
        CPPUNIT_ASSERT_EQUAL(std::size_t(60),
                             count_outcome(cluster, run_outcome::result));
    }

    void retention_deletes_the_oldest_segments()
    {
        auto settings = one_bucket();
        settings.writer.retention = std::chrono::seconds(2);
        claims_cluster cluster(settings);
        submit_orders(cluster, 0, 30);
        for (auto& it : cluster.nodes)
            assign(it.writer, std::vector<std::uint32_t>{0});
        cluster.run_for(milliseconds(5'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.store.current.size());
        const auto& head = cluster.store.current.begin()->second.first;
        CPPUNIT_ASSERT(decode_head(head, "head").sealed.empty());
    }

    void full_bucket_refuses_until_retention()
    {
        auto settings = one_bucket();
        settings.writer.max_segments = 2;
        settings.writer.retention = std::chrono::seconds(20);
        claims_cluster cluster(settings);
        submit_orders(cluster, 0, 30);
        cluster.run_for(milliseconds(3'000));
        CPPUNIT_ASSERT(count_outcome(cluster, run_outcome::not_run) > 5);
        cluster.run_for(milliseconds(20'000));
        const auto n = cluster.submit(0, "order-after", "body");
        cluster.run_for(milliseconds(1'000));
        CPPUNIT_ASSERT(cluster.requests[n].outcome == run_outcome::result);
        CPPUNIT_ASSERT_EQUAL(std::string(), cluster.violation());
    }

    void claims_share_writes_within_the_budget()
    {
        auto settings = one_bucket();
        settings.response_size = 0;
        settings.writer.segment_bytes = 262'144;
        settings.writer.write_rate = 2;
        settings.writer.write_burst = 1;
        claims_cluster cluster(settings);
        for (int n = 0; n < 300; ++n)
        {
            cluster.submit(n % 3, "order-" + std::to_string(n), "body");
            cluster.run_for(milliseconds(10));
        }
        CPPUNIT_ASSERT(cluster.store.writes <= 2 * 3 + 1);
        CPPUNIT_ASSERT(count_outcome(cluster, run_outcome::result) > 200);
        CPPUNIT_ASSERT_EQUAL(std::string(), cluster.violation());
    }

    void full_queue_refuses_and_loses_no_claim()
    {
        auto settings = one_bucket();
        settings.response_size = 0;
        settings.writer.max_operations = 5;
        settings.writer.finish_delay = milliseconds(50);
        settings.attempts.max_unfinished_attempts = 10;
        claims_cluster cluster(settings);
        for (int n = 0; n < 40; ++n)
            cluster.submit(n % 2, "order-" + std::to_string(n), "body");
        cluster.run_for(milliseconds(4'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(20),
                             count_outcome(cluster, run_outcome::result));
        CPPUNIT_ASSERT_EQUAL(std::size_t(20),
                             count_outcome(cluster, run_outcome::not_run));
        CPPUNIT_ASSERT_EQUAL(std::string(), cluster.violation());
    }

    void damaged_head_is_not_overwritten()
    {
        claims_cluster cluster(one_bucket());
        cluster.store.current[head_key(0)] = {"damaged", 1};
        const auto n = cluster.submit(0, "order", "body");
        cluster.run_for(milliseconds(6'000));
        CPPUNIT_ASSERT(cluster.requests[n].outcome == run_outcome::not_run);
        CPPUNIT_ASSERT_EQUAL(std::string("damaged"),
                             cluster.store.current[head_key(0)].first);
    }

    void completed_claim_is_not_released()
    {
        operation release{false, {}, {}};
        release.entry.state = claim_state::not_run;
        claim_entry entry;
        CPPUNIT_ASSERT(decide(&entry, release) == decision::write);
        entry.state = claim_state::completed;
        CPPUNIT_ASSERT(decide(&entry, release) == decision::recorded);
        entry.state = claim_state::claimed;
        entry.attempt.number = 1;
        CPPUNIT_ASSERT(decide(&entry, release) == decision::recorded);
    }

    void undefined_state_is_rejected()
    {
        bucket_head head;
        head.current.entries.resize(1);
        CPPUNIT_ASSERT_NO_THROW(decode_head(encode_head(head), "head"));
        head.current.entries[0].state = static_cast<claim_state>(9);
        CPPUNIT_ASSERT_THROW(decode_head(encode_head(head), "head"),
                             codec_error);
    }

    void settings_out_of_range_are_rejected()
    {
        writer_settings settings;
        settings.segment_bytes = 2'000'000;
        CPPUNIT_ASSERT_THROW(make_writer(settings), config_error);
        settings = {};
        settings.max_segments = 30'000;
        CPPUNIT_ASSERT_THROW(make_writer(settings), config_error);
        settings = {};
        settings.write_rate = 0;
        CPPUNIT_ASSERT_THROW(make_writer(settings), config_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims_bucket);

} // namespace
