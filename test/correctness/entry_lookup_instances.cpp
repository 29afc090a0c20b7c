// Guards callers against a new instance that has no share yet, or a small one:
// it has no slots and refused what look-up answers sent to it with no_capacity.

#include <parsleyplank/entry/lookup_instances.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;

namespace
{

store::listed_instance listed(const std::string& id, std::uint64_t life)
{
    store::listed_instance info;
    info.id = instance_id(id);
    info.life = incarnation{life};
    info.region = region_id("oslo");
    return info;
}

quota::share_holder holder(const char* id, std::uint32_t share)
{
    return {
        {instance_id(id), incarnation{1}}, share_ppm{share}, epoch{1}, epoch()};
}

class entry_lookup_instances : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_lookup_instances);
    CPPUNIT_TEST(instances_without_share_have_no_weight);
    CPPUNIT_TEST(first_donations_are_no_reason_for_weight);
    CPPUNIT_TEST_SUITE_END();

public:
    void instances_without_share_have_no_weight()
    {
        const time_point now{std::chrono::hours(1)};
        membership::member_table members;
        members.self = instance_id("a");
        // The share of b belongs to its first life, which is gone.
        membership::update_from_list(
            members, {listed("b", 2), listed("c", 1), listed("d", 1)}, now);
        for (const auto* id : {"b", "c"})
            membership::record_contact(
                members, instance_id(id),
                members.members[instance_id(id)].info.life, false, now);
        const quota::share_table shares{
            epoch{2},
            {holder("a", 200'000), holder("b", 300'000), holder("c", 500'000)}};
        lookup::live_instance self;
        self.id = instance_id("a");
        const auto found =
            entry::lookup_instances(self, incarnation{1}, members, shares, now);
        // d has not been in contact.
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, found.size());
        CPPUNIT_ASSERT_EQUAL(200'000.0, found[0].weight);
        CPPUNIT_ASSERT_EQUAL(0.0, found[1].weight);
        CPPUNIT_ASSERT_EQUAL(500'000.0, found[2].weight);
    }

    void first_donations_are_no_reason_for_weight()
    {
        const time_point now{std::chrono::hours(1)};
        membership::member_table members;
        members.self = instance_id("a");
        membership::update_from_list(members, {listed("b", 1)}, now);
        membership::record_contact(members, instance_id("b"), incarnation{1},
                                   false, now);
        lookup::live_instance self;
        self.id = instance_id("a");
        const auto weight_of_b = [&](std::uint32_t share)
        {
            const quota::share_table shares{
                epoch{2}, {holder("a", 1'000'000 - share), holder("b", share)}};
            return entry::lookup_instances(self, incarnation{1}, members,
                                           shares, now)[1]
                .weight;
        };
        CPPUNIT_ASSERT_EQUAL(0.0, weight_of_b(249'999));
        CPPUNIT_ASSERT_EQUAL(250'000.0, weight_of_b(250'000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_lookup_instances);

} // namespace
