// Tests which connections of callers are paused or closed for their memory, and
// how the parts of memory and descriptors add up.

#include <parsleyplank/edge/front_limits.hpp>
#include <parsleyplank/proxy/connection_memory.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace parsleyplank;

namespace
{

class proxy_connection_memory : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_connection_memory);
    CPPUNIT_TEST(short_fields_cost_more_than_their_bytes);
    CPPUNIT_TEST(ordinary_requests_ahead_are_read);
    CPPUNIT_TEST(a_connection_that_holds_much_is_paused);
    CPPUNIT_TEST(only_callers_that_owe_something_are_closed);
    CPPUNIT_TEST(large_requests_leave_room_for_small_ones);
    CPPUNIT_TEST(the_oldest_of_equal_holders_gives_way);
    CPPUNIT_TEST(a_holder_that_may_not_give_way_is_kept);
    CPPUNIT_TEST(the_shares_leave_a_part_for_the_program);
    CPPUNIT_TEST(connections_to_servers_use_what_callers_do_not);
    CPPUNIT_TEST_SUITE_END();

    const proxy::connection_memory_options options{};

    static proxy::http::fields make_fields(int n, const std::string& value)
    {
        proxy::http::fields fields;
        for (int i = 0; i < n; ++i)
            fields.insert("a", value);
        return fields;
    }

public:
    // Guards against requests of legal size whose decoded fields fill the
    // memory.
    void short_fields_cost_more_than_their_bytes()
    {
        constexpr int n = 4'000;
        const auto bytes = proxy::memory_of_request(make_fields(n, ""));
        CPPUNIT_ASSERT(bytes > std::size_t(n) * 4 * 25);
    }

    void ordinary_requests_ahead_are_read()
    {
        constexpr std::size_t ahead = 16;
        proxy::connection_use use;
        use.pending_bytes =
            ahead * proxy::memory_of_request(make_fields(12, "ordinary value"));
        use.unreceived = 100;
        CPPUNIT_ASSERT(!proxy::must_pause(use, options));
    }

    void a_connection_that_holds_much_is_paused()
    {
        proxy::connection_use use;
        use.pending_bytes = proxy::memory_of_request(make_fields(4'000, ""));
        CPPUNIT_ASSERT(proxy::must_pause(use, options));
        use.pending_bytes = 0;
        use.unreceived = options.max_unreceived;
        CPPUNIT_ASSERT(proxy::must_pause(use, options));
    }

    // Guards against the close of a connection whose request is at work, or
    // whose caller sends at an ordinary rate.
    void only_callers_that_owe_something_are_closed()
    {
        proxy::caller_progress progress;
        CPPUNIT_ASSERT(!proxy::may_close(progress, options));
        progress.sending = true;
        progress.send_time = milliseconds(2'000);
        progress.sent_bytes = 100'000;
        CPPUNIT_ASSERT(!proxy::may_close(progress, options));
        progress.sent_bytes = 1'000;
        CPPUNIT_ASSERT(proxy::may_close(progress, options));
        progress.send_time = milliseconds(500);
        CPPUNIT_ASSERT(!proxy::may_close(progress, options));
        progress = {};
        progress.receiving = true;
        progress.blocked_time = milliseconds(900);
        CPPUNIT_ASSERT(!proxy::may_close(progress, options));
        progress.blocked_time = milliseconds(1'100);
        CPPUNIT_ASSERT(proxy::may_close(progress, options));
    }

    void large_requests_leave_room_for_small_ones()
    {
        constexpr std::size_t limit = 1'000'000;
        CPPUNIT_ASSERT_EQUAL(limit, proxy::limit_for(12'288, limit, options));
        CPPUNIT_ASSERT_EQUAL(limit / 4 * 3,
                             proxy::limit_for(400'000, limit, options));
    }

    void the_oldest_of_equal_holders_gives_way()
    {
        const auto budget = std::make_shared<proxy::memory_budget>(100);
        int closed = 0;
        proxy::memory_reservation first(budget, 100, [&] { closed = 1; });
        proxy::memory_reservation second(budget, 100, [&] { closed = 2; });
        proxy::memory_reservation small(budget, 100);
        CPPUNIT_ASSERT(second.resize(50) && first.resize(50));
        CPPUNIT_ASSERT(small.resize(10));
        CPPUNIT_ASSERT_EQUAL(1, closed);
    }

    void a_holder_that_may_not_give_way_is_kept()
    {
        const auto budget = std::make_shared<proxy::memory_budget>(100);
        proxy::memory_reservation large(
            budget, 100, [] {}, [] { return false; });
        proxy::memory_reservation small(budget, 100);
        CPPUNIT_ASSERT(large.resize(95));
        CPPUNIT_ASSERT(!small.resize(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(95), large.size());
        small.charge(10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(105), budget->used());
    }

    void the_shares_leave_a_part_for_the_program()
    {
        constexpr std::size_t bytes = 64'000'000;
        const auto shares = edge::share_memory(bytes);
        CPPUNIT_ASSERT(shares.bodies + shares.callers +
                           3 * shares.each_service + shares.peers <
                       bytes / 8 * 5);
        CPPUNIT_ASSERT(shares.each_service >= 1'000'000);
    }

    // Guards against a crowd of requests whose connections to servers take all
    // descriptors.
    void connections_to_servers_use_what_callers_do_not()
    {
        proxy::descriptor_pool pool{240, 60, 240, 60};
        CPPUNIT_ASSERT(!proxy::may_open_server(pool));
        pool.callers = 200;
        CPPUNIT_ASSERT(proxy::may_open_server(pool));
        pool.servers = 100;
        CPPUNIT_ASSERT(!proxy::may_open_server(pool));
        CPPUNIT_ASSERT_EQUAL(std::size_t(200), proxy::callers_limit(pool));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_connection_memory);

} // namespace
