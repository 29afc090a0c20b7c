// Guards the queue of an upstream without free slots: a customer that sends too
// many requests takes no slots from the others, and no request waits longer
// than its expiry time.

#include <parsleyplank/placement/fair_queue.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cmath>
#include <map>
#include <string>

using namespace parsleyplank;
using namespace parsleyplank::placement;

namespace
{

const time_point start{std::chrono::hours(1)};
const time_point never = start + std::chrono::hours(1);

class placement_fair_queue : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_fair_queue);
    CPPUNIT_TEST(slots_follow_weights_not_demand);
    CPPUNIT_TEST(new_customer_does_not_wait_for_queued_flood);
    CPPUNIT_TEST(flood_request_is_evicted_when_full);
    CPPUNIT_TEST(expired_requests_leave_and_cost_nothing);
    CPPUNIT_TEST(removed_request_is_not_served);
    CPPUNIT_TEST(requests_of_a_customer_keep_their_order);
    CPPUNIT_TEST_SUITE_END();

    fair_queue queue;
    std::uint64_t number = 0;

    std::optional<queued_request> add(const std::string& customer,
                                      double weight = 1,
                                      time_point expires = never)
    {
        return push(queue, {++number, customer_id(customer), weight, expires});
    }

    std::map<std::string, int> serve(int n)
    {
        std::map<std::string, int> served;
        for (int i = 0; i < n; ++i)
        {
            const auto next = pop(queue);
            CPPUNIT_ASSERT(next);
            ++served[next->customer.value];
        }
        return served;
    }

public:
    void slots_follow_weights_not_demand()
    {
        queue.max_size = 10'000;
        for (int n = 0; n < 1'000; ++n)
        {
            add("flood");
            add("flood");
            add("flood");
            if (n < 500)
                add("small");
            if (n < 700)
                add("large", 2);
        }
        auto served = serve(800);
        CPPUNIT_ASSERT(std::abs(served["flood"] - 200) <= 2);
        CPPUNIT_ASSERT(std::abs(served["small"] - 200) <= 2);
        CPPUNIT_ASSERT(std::abs(served["large"] - 400) <= 2);
    }

    void new_customer_does_not_wait_for_queued_flood()
    {
        for (int n = 0; n < 200; ++n)
            add("flood");
        serve(50);
        add("small");
        CPPUNIT_ASSERT_EQUAL(1, serve(2)["small"]);
    }

    void flood_request_is_evicted_when_full()
    {
        queue.max_size = 10;
        for (int n = 0; n < 10; ++n)
            CPPUNIT_ASSERT(!add("flood"));
        const auto refused = add("flood");
        CPPUNIT_ASSERT(refused && refused->number == number);
        for (int n = 0; n < 4; ++n)
        {
            const auto evicted = add("small");
            CPPUNIT_ASSERT(evicted && evicted->customer.value == "flood");
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), queue.size);
        CPPUNIT_ASSERT_EQUAL(4, serve(8)["small"]);
    }

    void expired_requests_leave_and_cost_nothing()
    {
        for (int n = 0; n < 50; ++n)
            add("a", 1, start + milliseconds(100));
        CPPUNIT_ASSERT(expire(queue, start + milliseconds(99)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(50),
                             expire(queue, start + milliseconds(100)).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue.size);
        for (int n = 0; n < 10; ++n)
        {
            add("a");
            add("b");
        }
        CPPUNIT_ASSERT(std::abs(serve(10)["a"] - 5) <= 1);
    }

    void removed_request_is_not_served()
    {
        add("a");
        add("a");
        CPPUNIT_ASSERT(remove(queue, customer_id("a"), 1));
        CPPUNIT_ASSERT(!remove(queue, customer_id("a"), 1));
        CPPUNIT_ASSERT(!remove(queue, customer_id("b"), 2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), pop(queue)->number);
        CPPUNIT_ASSERT(!pop(queue));
    }

    void requests_of_a_customer_keep_their_order()
    {
        for (int n = 0; n < 20; ++n)
            add(n % 2 == 0 ? "a" : "b");
        std::map<std::string, std::uint64_t> last;
        while (const auto next = pop(queue))
        {
            CPPUNIT_ASSERT(next->number > last[next->customer.value]);
            last[next->customer.value] = next->number;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_fair_queue);

} // namespace
