// Tests how counts pass from instance to instance: guards against counts that
// are lost or added twice while datagrams are lost and the holder changes.

#include <parsleyplank/usage/hand_over.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>

using namespace parsleyplank;
using namespace parsleyplank::usage;

namespace
{

const window_id window(10);
const customer_id shop("shop");
const instance_id relay("relay");
const instance_id holder("holder");

std::int64_t total(const window_counts& counts)
{
    std::int64_t sum = 0;
    for (const auto& [id, customers] : counts)
        for (const auto& [customer, count] : customers)
            sum += count;
    return sum;
}

class usage_hand_over : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(usage_hand_over);
    CPPUNIT_TEST(an_acknowledged_batch_belongs_to_its_receiver);
    CPPUNIT_TEST(a_batch_is_sent_again_until_it_is_acknowledged);
    CPPUNIT_TEST(a_batch_whose_receiver_is_gone_goes_to_another);
    CPPUNIT_TEST(a_late_acknowledgement_of_an_earlier_batch_is_ignored);
    CPPUNIT_TEST(a_repeated_batch_is_taken_once);
    CPPUNIT_TEST(a_restarted_sender_is_told_from_its_predecessor);
    CPPUNIT_TEST(what_a_holder_was_told_is_told_to_the_next);
    CPPUNIT_TEST(what_a_holder_was_told_is_not_told_to_its_heir);
    CPPUNIT_TEST(an_acknowledgement_by_a_former_holder_counts_for_nothing);
    CPPUNIT_TEST(the_holder_tells_its_own_counts_to_its_successor);
    CPPUNIT_TEST(a_batch_fits_into_one_datagram);
    CPPUNIT_TEST(the_messages_of_a_large_fleet_stay_small);
    CPPUNIT_TEST_SUITE_END();

    time_point now{std::chrono::hours(1)};
    count_sender sender;

    const open_batch* next(const instance_id& to, bool gone = false)
    {
        return next_batch(sender, to, gone, now);
    }

    static usage_message message(std::uint64_t started_ms, std::uint64_t number)
    {
        return {instance_id("child"), started_ms, number, false, {}, {}};
    }

public:
    void setUp() override
    {
        sender = {};
        add_count(sender.pending, window, shop, 7);
    }

    void an_acknowledged_batch_belongs_to_its_receiver()
    {
        const auto* batch = next(relay);
        CPPUNIT_ASSERT(batch != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), batch->changes.front().change);
        CPPUNIT_ASSERT(acknowledge(sender, relay, batch->number, {}));
        CPPUNIT_ASSERT(sender.pending.empty() && sender.told.empty());
        CPPUNIT_ASSERT(next(relay) == nullptr);
    }

    void a_batch_is_sent_again_until_it_is_acknowledged()
    {
        const auto number = next(relay)->number;
        CPPUNIT_ASSERT(next(relay) == nullptr);
        // Counts that arrive meanwhile do not change the batch.
        add_count(sender.pending, window, shop, 1);
        now += sender.options.resend_interval;
        const auto* again = next(holder);
        CPPUNIT_ASSERT(again->to == relay);
        CPPUNIT_ASSERT_EQUAL(number, again->number);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), again->changes.front().change);
    }

    void a_batch_whose_receiver_is_gone_goes_to_another()
    {
        const auto number = next(relay)->number;
        const auto* batch = next(holder, true);
        CPPUNIT_ASSERT(batch->to == holder);
        CPPUNIT_ASSERT(batch->number > number);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), batch->changes.front().change);
    }

    void a_late_acknowledgement_of_an_earlier_batch_is_ignored()
    {
        const auto number = next(relay)->number;
        next(holder, true);
        CPPUNIT_ASSERT(!acknowledge(sender, relay, number, {}));
        CPPUNIT_ASSERT(sender.open.has_value());
    }

    // Guards against counts that are added twice because an acknowledgement was
    // lost.
    void a_repeated_batch_is_taken_once()
    {
        count_receiver receiver;
        CPPUNIT_ASSERT(!find_received(receiver, message(1, 1)));
        CPPUNIT_ASSERT(
            record_received(receiver, message(1, 1), fence_token(5), now));
        // The acknowledgement is the same, although the duty may have ended.
        CPPUNIT_ASSERT(find_received(receiver, message(1, 1)) ==
                       fence_token(5));
        CPPUNIT_ASSERT(
            record_received(receiver, message(1, 2), fence_token(5), now));
        // A datagram that was delayed.
        CPPUNIT_ASSERT(
            !record_received(receiver, message(1, 1), fence_token(5), now));
        forget_senders(receiver, milliseconds(1), now + milliseconds(1));
        CPPUNIT_ASSERT(receiver.senders.empty());
    }

    void a_restarted_sender_is_told_from_its_predecessor()
    {
        count_receiver receiver;
        record_received(receiver, message(1, 9), {}, now);
        CPPUNIT_ASSERT(!find_received(receiver, message(2, 9)));
        CPPUNIT_ASSERT(record_received(receiver, message(2, 1), {}, now));
    }

    // Guards against a killed holder that takes the counts of the fleet along.
    void what_a_holder_was_told_is_told_to_the_next()
    {
        const auto number = next(holder)->number;
        acknowledge(sender, holder, number, fence_token(5));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), total(sender.told));
        set_holder(sender, fence_token(5));
        CPPUNIT_ASSERT(next(holder) == nullptr);
        set_holder(sender, fence_token(6));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7),
                             next(relay)->changes.front().change);
        CPPUNIT_ASSERT(sender.told.empty());
    }

    // Guards against counts that are in the sums twice after a planned stop of
    // the holder, also if the acknowledgement or one holder was missed.
    void what_a_holder_was_told_is_not_told_to_its_heir()
    {
        acknowledge(sender, holder, next(holder)->number, fence_token(5));
        add_count(sender.pending, window, shop, 2);
        const auto number = next(holder)->number;
        set_holder(sender, fence_token(7), {fence_token(6), fence_token(5)});
        acknowledge(sender, holder, number, fence_token(5));
        CPPUNIT_ASSERT(sender.pending.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), total(sender.told));
        // The heir is killed.
        set_holder(sender, fence_token(8));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), total(sender.pending));
    }

    void an_acknowledgement_by_a_former_holder_counts_for_nothing()
    {
        const auto number = next(holder)->number;
        set_holder(sender, fence_token(6));
        acknowledge(sender, holder, number, fence_token(5));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), total(sender.pending));
    }

    void the_holder_tells_its_own_counts_to_its_successor()
    {
        set_holder(sender, fence_token(5));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), total(tell_self(sender)));
        CPPUNIT_ASSERT(tell_self(sender).empty());
        set_holder(sender, fence_token(6));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7),
                             next(holder)->changes.front().change);
    }

    void a_batch_fits_into_one_datagram()
    {
        for (int i = 0; i < 1'000; ++i)
            add_count(sender.pending, window,
                      customer_id("customer-" + std::to_string(i)), 1'000'000);
        std::int64_t sum = 0;
        std::size_t batches = 0;
        while (const auto* batch = next(relay))
        {
            const auto bytes =
                pack_value(usage_message{relay, 1'700'000'000'000,
                                         batch->number, false, fence_token(1),
                                         batch->changes})
                    .size();
            CPPUNIT_ASSERT(bytes <= 1'400);
            sum = std::accumulate(
                batch->changes.begin(), batch->changes.end(), sum,
                [](std::int64_t n, const auto& it) { return n + it.change; });
            const bool has_more = batch->has_more;
            acknowledge(sender, relay, batch->number, {});
            CPPUNIT_ASSERT_EQUAL(!sender.pending.empty(), has_more);
            ++batches;
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1'000'000'007), sum);
        CPPUNIT_ASSERT(batches < 50);
    }

    // The load of 2,300 instances, each with 22 requests a second of 87
    // customers: what an instance sends stays within the 2 KB/s of its control,
    // and does not depend on the number of instances.
    void the_messages_of_a_large_fleet_stay_small()
    {
        constexpr std::size_t instances = 2'300;
        constexpr std::size_t requests_per_s = 22;
        constexpr std::size_t packet_overhead = 28;
        constexpr double max_bytes_per_s = 2'000;
        window_counts counts;
        for (std::size_t i = 0; i < requests_per_s * 2; ++i)
            add_count(counts, window_id(353'445'120),
                      customer_id("cust" + std::to_string(100 + i)), 1);
        sender = {};
        sender.pending = counts;
        std::size_t bytes = 0;
        std::size_t own_messages = 0;
        while (const auto* batch = next(relay))
        {
            const usage_message sent{instance_id("edge-doto-obihiro-1"),
                                     1'700'000'000'000,
                                     batch->number,
                                     false,
                                     {},
                                     batch->changes};
            bytes += pack_value(sent).size() + packet_overhead;
            acknowledge(sender, relay, batch->number, {});
            ++own_messages;
        }
        // A large fleet sends every two seconds.
        CPPUNIT_ASSERT(static_cast<double>(bytes) / 2 < max_bytes_per_s / 2);
        CPPUNIT_ASSERT(own_messages <= 2);
        // A relay holds one sum for each customer, whatever is below it.
        window_counts sums;
        for (std::size_t i = 0; i < instances; ++i)
            add_counts(sums, counts);
        CPPUNIT_ASSERT_EQUAL(counts.begin()->second.size(),
                             sums.begin()->second.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_hand_over);

} // namespace
