// Guards the rendezvous order: it does not depend on the order of the input, so
// that it is the same on every instance, and removing a member moves only the
// keys that were assigned to it.

#include <parsleyplank/core/rendezvous.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace parsleyplank;

namespace
{

std::vector<instance_id> make_members(int n)
{
    std::vector<instance_id> members;
    members.reserve(n);
    for (int i = 0; i < n; ++i)
        members.emplace_back("entry-" + std::to_string(i));
    return members;
}

class core_rendezvous : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(core_rendezvous);
    CPPUNIT_TEST(order_does_not_depend_on_input_order);
    CPPUNIT_TEST(leaving_member_moves_only_its_own_keys);
    CPPUNIT_TEST(empty_member_list_has_no_first_member);
    CPPUNIT_TEST_SUITE_END();

public:
    void order_does_not_depend_on_input_order()
    {
        auto members = make_members(10);
        const auto order = rendezvous_order("bucket/7", members);
        std::ranges::reverse(members);
        CPPUNIT_ASSERT(order == rendezvous_order("bucket/7", members));
        CPPUNIT_ASSERT(order.front() == *rendezvous_first("bucket/7", members));
    }

    void leaving_member_moves_only_its_own_keys()
    {
        const auto all = make_members(10);
        const std::vector rest(all.begin() + 1, all.end());
        for (int n = 0; n < 1000; ++n)
        {
            const auto key = "bucket/" + std::to_string(n);
            const auto before = *rendezvous_first(key, all);
            const auto after = *rendezvous_first(key, rest);
            CPPUNIT_ASSERT(before == all.front() || before == after);
        }
    }

    void empty_member_list_has_no_first_member()
    {
        CPPUNIT_ASSERT(rendezvous_first("bucket/1", {}) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(core_rendezvous);

} // namespace
