// Tests which bodies get memory when more is wanted than there is.

#include <parsleyplank/proxy/memory_budget.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

using namespace parsleyplank;

namespace
{

class proxy_memory_budget : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_memory_budget);
    CPPUNIT_TEST(memory_returns_to_the_budget);
    CPPUNIT_TEST(the_largest_response_gives_way_to_a_smaller_one);
    CPPUNIT_TEST(the_largest_response_can_not_grow_further);
    CPPUNIT_TEST(a_complete_body_keeps_its_memory);
    CPPUNIT_TEST(requests_leave_room_for_responses);
    CPPUNIT_TEST(a_growing_body_is_held_twice_for_a_moment);
    CPPUNIT_TEST(room_that_the_parser_has_made_is_reserved_too);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t limit = 100;
    std::shared_ptr<proxy::memory_budget> budget;
    std::vector<int> reclaimed;

    std::unique_ptr<proxy::memory_reservation> response(int number)
    {
        return std::make_unique<proxy::memory_reservation>(
            budget, limit, [this, number] { reclaimed.push_back(number); });
    }

    std::unique_ptr<proxy::memory_reservation> request() const
    {
        return std::make_unique<proxy::memory_reservation>(budget, limit / 2);
    }

public:
    void setUp() override
    {
        budget = std::make_shared<proxy::memory_budget>(limit);
        reclaimed.clear();
    }

    void memory_returns_to_the_budget()
    {
        {
            const auto a = response(1);
            CPPUNIT_ASSERT(a->resize(80));
            CPPUNIT_ASSERT(a->resize(60));
            CPPUNIT_ASSERT_EQUAL(std::size_t(60), budget->used());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget->used());
    }

    void the_largest_response_gives_way_to_a_smaller_one()
    {
        const auto endless = response(1);
        const auto middle = response(2);
        const auto small = response(3);
        CPPUNIT_ASSERT(endless->resize(70) && middle->resize(30));
        CPPUNIT_ASSERT(small->resize(5));
        CPPUNIT_ASSERT(reclaimed == std::vector<int>{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), endless->size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(35), budget->used());
    }

    void the_largest_response_can_not_grow_further()
    {
        const auto endless = response(1);
        const auto small = response(2);
        CPPUNIT_ASSERT(small->resize(20) && endless->resize(80));
        CPPUNIT_ASSERT(!endless->resize(90));
        CPPUNIT_ASSERT(reclaimed.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(80), endless->size());
    }

    // A ready response is delivered, even if its caller reads it slowly.
    void a_complete_body_keeps_its_memory()
    {
        const auto ready = response(1);
        CPPUNIT_ASSERT(ready->resize(90));
        ready->keep();
        const auto other = response(2);
        CPPUNIT_ASSERT(!other->resize(20));
        CPPUNIT_ASSERT(other->resize(10));
        CPPUNIT_ASSERT(reclaimed.empty());
    }

    void a_growing_body_is_held_twice_for_a_moment()
    {
        const auto growing = response(1);
        std::string body;
        CPPUNIT_ASSERT(proxy::reserve_room(body, 30, *growing));
        CPPUNIT_ASSERT_EQUAL(body.capacity(), growing->size());
        body.assign(30, 'x');
        // The old and the new memory together exceed the limit.
        CPPUNIT_ASSERT(!proxy::reserve_room(body, 60, *growing));
        CPPUNIT_ASSERT_EQUAL(body.capacity(), growing->size());
        CPPUNIT_ASSERT(proxy::reserve_room(body, 20, *growing));
        CPPUNIT_ASSERT_EQUAL(body.capacity(), growing->size());
    }

    void room_that_the_parser_has_made_is_reserved_too()
    {
        const auto known_length = response(1);
        std::string body;
        body.reserve(80);
        CPPUNIT_ASSERT(proxy::reserve_room(body, 20, *known_length));
        CPPUNIT_ASSERT_EQUAL(body.capacity(), known_length->size());
    }

    // Requests must not take the memory that the responses to them need.
    void requests_leave_room_for_responses()
    {
        const auto upload = request();
        const auto second = request();
        CPPUNIT_ASSERT(upload->resize(50));
        CPPUNIT_ASSERT(!second->resize(1));
        const auto answer = response(1);
        CPPUNIT_ASSERT(answer->resize(50));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_memory_budget);

} // namespace
