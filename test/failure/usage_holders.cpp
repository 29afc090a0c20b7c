// Holders of the duty to report usage that are killed, frozen or cut off around
// a change of holder. The platform of the test judges what it gets: the counts
// of one window are the same in every call that it takes, and no token is used
// by two holders.

#include <parsleyplank/edge/usage_store.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <support/memory_store.hpp>

#include <map>
#include <memory>

using namespace parsleyplank;
using namespace parsleyplank::usage;

namespace
{

const customer_id shop("shop");
constexpr milliseconds length{5'000};

struct platform_call
{
    instance_id holder;
    fence_token token;
    window_report report;
};

// What the platform accepts, and what would be a fault of the holders.
struct judge
{
    fence_token highest;
    std::map<window_id, customer_counts> accepted;
    std::map<fence_token, instance_id> users;

    // Returns whether the call is accepted.
    bool take(const platform_call& call)
    {
        const auto user = users.try_emplace(call.token, call.holder).first;
        CPPUNIT_ASSERT(user->second == call.holder);
        if (call.token < highest)
            return false;
        highest = call.token;
        const auto& report = call.report;
        const auto known =
            accepted.try_emplace(report.window, report.counts).first;
        CPPUNIT_ASSERT(known->second == report.counts);
        return true;
    }
};

// A process that may hold the duty.
struct holder
{
    holder(const std::shared_ptr<test::memory_store_data>& data,
           const std::string& name, std::uint64_t started_ms = 1)
        : store(data), lease(store.grant_lease(milliseconds(4'000)))
    {
        duty.self = instance_id(name);
        duty.started_ms = started_ms;
        ledger.options.window_length = length;
    }

    // Claims the duty; returns whether this process then holds it.
    bool claim(boot_time boot, unix_time wall)
    {
        const auto keys = edge::claim_duty(store, lease, duty, wall);
        const auto found = edge::read_usage_keys(keys);
        if (!found.holder || !may_adopt(duty, *found.holder))
            return false;
        note_renewal(duty, boot);
        begin_duty(duty, *found.holder, found.holder_revision);
        begin_reports(ledger, found.reports, wall, found.left.sums);
        return true;
    }

    void add(window_id window, std::int64_t count)
    {
        window_counts counts;
        add_count(counts, window, shop, count);
        add_to_sums(ledger, counts);
    }

    // Writes the report that is due. Returns whether the store has it.
    bool write()
    {
        const auto* closed = next_write(ledger);
        if (closed == nullptr)
            return false;
        const auto stored = edge::store_report(
            store, report_place(closed->report.window, ledger.options),
            duty.held_revision, closed->report);
        if (!stored)
            return false;
        note_written(ledger, *stored);
        return true;
    }

    // Returns the call that is due, which may be executed at any time from then
    // on.
    std::optional<platform_call> call(boot_time boot, unix_time wall)
    {
        const auto until = may_act_until(duty);
        const auto* due = next_call(ledger, wall);
        if (due == nullptr || !until || boot >= *until)
            return std::nullopt;
        return platform_call{duty.self, *duty.held, due->report};
    }

    test::memory_store store;
    store::lease_id lease;
    duty_state duty;
    report_ledger ledger;
};

class usage_holders : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(usage_holders);
    CPPUNIT_TEST(one_of_two_claims_at_the_same_time_holds_the_duty);
    CPPUNIT_TEST(a_report_of_a_killed_holder_is_sent_by_its_successor);
    CPPUNIT_TEST(a_repetition_after_a_lost_answer_is_the_same);
    CPPUNIT_TEST(a_frozen_holder_neither_writes_nor_calls_when_it_wakes);
    CPPUNIT_TEST(a_call_that_is_executed_late_changes_nothing);
    CPPUNIT_TEST(a_write_that_is_executed_late_changes_nothing);
    CPPUNIT_TEST(a_new_process_of_the_holder_takes_a_new_token);
    CPPUNIT_TEST(a_stopped_holder_leaves_its_sums_to_the_next);
    CPPUNIT_TEST(sums_are_not_taken_over_from_an_earlier_holder);
    CPPUNIT_TEST(a_fenced_holder_takes_a_new_token_from_the_store);
    CPPUNIT_TEST(tokens_are_not_given_again_after_the_store_has_fallen_back);
    CPPUNIT_TEST_SUITE_END();

    const window_id window{100};
    boot_time boot{std::chrono::hours(1)};
    unix_time wall{length * 100};
    judge platform;
    std::shared_ptr<test::memory_store_data> data;

    void pass(milliseconds time)
    {
        boot += time;
        wall += time;
    }

    // Lets the holder close the window with this count.
    void close(holder& it, std::int64_t count)
    {
        it.add(window, count);
        pass(length + it.ledger.options.closing_delay);
        note_renewal(it.duty, boot);
        step_reports(it.ledger, wall);
        CPPUNIT_ASSERT(next_write(it.ledger) != nullptr);
    }

    // Lets a successor begin when the lease of the holder has ended.
    void succeed(holder& former, holder& next, std::int64_t count)
    {
        next.store.end_lease(former.lease);
        CPPUNIT_ASSERT(next.claim(boot, wall));
        next.add(window, count);
        pass(next.ledger.options.settle_delay);
        note_renewal(next.duty, boot);
        step_reports(next.ledger, wall);
        next.write();
    }

    static void leave(holder& it)
    {
        edge::leave_duty(it.store, it.duty.held_revision,
                         {*it.duty.held, it.duty.current->inherits,
                          unwritten_sums(it.ledger)});
    }

    void accept(const std::optional<platform_call>& call)
    {
        CPPUNIT_ASSERT(call.has_value());
        CPPUNIT_ASSERT(platform.take(*call));
    }

    std::int64_t accepted_count() const
    {
        return platform.accepted.at(window).at(shop);
    }

public:
    void setUp() override
    {
        data = std::make_shared<test::memory_store_data>();
        platform = {};
        boot = std::chrono::hours(1);
        wall = length * 100;
    }

    void one_of_two_claims_at_the_same_time_holds_the_duty()
    {
        holder a(data, "a");
        holder b(data, "b");
        // B claims after A has read the keys.
        data->before_commit =
            [&, first = true](const store::transaction& /*changes*/) mutable
        {
            if (std::exchange(first, false))
                CPPUNIT_ASSERT(b.claim(boot, wall));
        };
        CPPUNIT_ASSERT(!a.claim(boot, wall));
        CPPUNIT_ASSERT(!may_act_until(a.duty) && may_act_until(b.duty));
        data->before_commit = nullptr;
    }

    void a_report_of_a_killed_holder_is_sent_by_its_successor()
    {
        holder a(data, "a");
        holder b(data, "b");
        CPPUNIT_ASSERT(a.claim(boot, wall));
        close(a, 7);
        CPPUNIT_ASSERT(a.write());
        // A is killed, perhaps after its call.
        platform.take(*a.call(boot, wall));
        // B has counted without what A has lost.
        succeed(a, b, 6);
        accept(b.call(boot, wall));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), accepted_count());
    }

    void a_repetition_after_a_lost_answer_is_the_same()
    {
        holder a(data, "a");
        CPPUNIT_ASSERT(a.claim(boot, wall));
        close(a, 7);
        CPPUNIT_ASSERT(a.write());
        accept(a.call(boot, wall));
        note_call(a.ledger, window, wall);
        CPPUNIT_ASSERT(!a.call(boot, wall));
        a.add(window, 2);
        pass(a.ledger.options.min_retry_interval);
        step_reports(a.ledger, wall);
        accept(a.call(boot, wall));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), accepted_count());
    }

    void a_frozen_holder_neither_writes_nor_calls_when_it_wakes()
    {
        holder a(data, "a");
        holder b(data, "b");
        CPPUNIT_ASSERT(a.claim(boot, wall));
        close(a, 7);
        // A is frozen between the close and the write for its whole lease.
        pass(a.duty.options.lease_ttl);
        succeed(a, b, 6);
        // Its own counts are not written over those of its successor.
        a.write();
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(6),
            a.ledger.reports.at(window).report.counts.at(shop));
        CPPUNIT_ASSERT(!a.call(boot, wall));
        accept(b.call(boot, wall));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), accepted_count());
    }

    void a_call_that_is_executed_late_changes_nothing()
    {
        holder a(data, "a");
        holder b(data, "b");
        CPPUNIT_ASSERT(a.claim(boot, wall));
        close(a, 7);
        CPPUNIT_ASSERT(a.write());
        const auto late = a.call(boot, wall);
        succeed(a, b, 6);
        accept(b.call(boot, wall));
        CPPUNIT_ASSERT(!platform.take(*late));
        // A platform that does not fence takes it as a repetition.
        platform.highest = {};
        CPPUNIT_ASSERT(platform.take(*late));
    }

    // The write of the former holder has no answer, and takes effect after the
    // claim of its successor.
    void a_write_that_is_executed_late_changes_nothing()
    {
        holder a(data, "a");
        holder b(data, "b");
        CPPUNIT_ASSERT(a.claim(boot, wall));
        close(a, 7);
        data->before_commit =
            [&, first = true](const store::transaction& /*changes*/) mutable
        {
            if (std::exchange(first, false))
                succeed(a, b, 6);
        };
        CPPUNIT_ASSERT(!a.write());
        data->before_commit = nullptr;
        accept(b.call(boot, wall));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), accepted_count());
    }

    void a_new_process_of_the_holder_takes_a_new_token()
    {
        holder a(data, "a", 1);
        CPPUNIT_ASSERT(a.claim(boot, wall));
        holder restarted(data, "a", 2);
        CPPUNIT_ASSERT(!restarted.claim(boot, wall));
        restarted.store.end_lease(a.lease);
        CPPUNIT_ASSERT(restarted.claim(boot, wall));
        CPPUNIT_ASSERT(*restarted.duty.held > *a.duty.held);
    }

    // Guards against a restart of one instance after the other: what instances
    // had told the holder before they ended was lost when it was stopped too.
    void a_stopped_holder_leaves_its_sums_to_the_next()
    {
        holder a(data, "a");
        holder b(data, "b");
        CPPUNIT_ASSERT(a.claim(boot, wall));
        close(a, 7);
        leave(a);
        CPPUNIT_ASSERT(!a.write());
        CPPUNIT_ASSERT(b.claim(boot, wall));
        CPPUNIT_ASSERT(b.duty.current->inherits == fence_tokens{*a.duty.held});
        b.add(window, 2);
        pass(b.ledger.options.settle_delay);
        note_renewal(b.duty, boot);
        step_reports(b.ledger, wall);
        CPPUNIT_ASSERT(b.write());
        accept(b.call(boot, wall));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), accepted_count());
    }

    // All tell the successor of a killed holder again what they told before, so
    // sums of earlier holders must not be added.
    void sums_are_not_taken_over_from_an_earlier_holder()
    {
        holder a(data, "a");
        holder b(data, "b");
        holder c(data, "c");
        CPPUNIT_ASSERT(a.claim(boot, wall));
        a.add(window, 7);
        leave(a);
        CPPUNIT_ASSERT(b.claim(boot, wall));
        b.store.end_lease(b.lease);
        CPPUNIT_ASSERT(c.claim(boot, wall));
        CPPUNIT_ASSERT(c.ledger.sums.empty());
        CPPUNIT_ASSERT(c.duty.current->inherits.empty());
    }

    void a_fenced_holder_takes_a_new_token_from_the_store()
    {
        holder a(data, "a");
        CPPUNIT_ASSERT(a.claim(boot, wall));
        const auto refused = *a.duty.held;
        note_refused(a.duty, refused, boot);
        CPPUNIT_ASSERT(!may_act_until(a.duty));
        CPPUNIT_ASSERT(a.claim(boot, wall));
        CPPUNIT_ASSERT(*a.duty.held > refused);
    }

    // The store comes back from a copy that is older than the claim of B.
    void tokens_are_not_given_again_after_the_store_has_fallen_back()
    {
        holder a(data, "a");
        holder b(data, "b");
        CPPUNIT_ASSERT(a.claim(boot, wall));
        a.store.end_lease(a.lease);
        const auto copy = data->entries;
        pass(milliseconds(1'000));
        CPPUNIT_ASSERT(b.claim(boot, wall));
        close(b, 7);
        CPPUNIT_ASSERT(b.write());
        accept(b.call(boot, wall));
        data->entries = copy;
        holder c(data, "c");
        pass(milliseconds(1'000));
        CPPUNIT_ASSERT(c.claim(boot, wall));
        CPPUNIT_ASSERT(*c.duty.held > *b.duty.held);
        // The record of the window is lost, so it is not reported again.
        skip_unrecorded(c.ledger, wall);
        c.add(window, 6);
        pass(c.ledger.options.settle_delay);
        step_reports(c.ledger, wall);
        CPPUNIT_ASSERT(!c.write());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_holders);

} // namespace
