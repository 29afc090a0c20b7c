// Instances of a large fleet, which exchange digests only every few seconds:
// guards against other duties of the control thread becoming as rare.

#include <cppunit/extensions/HelperMacros.h>
#include <support/eventually.hpp>
#include <support/whole_instance.hpp>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

class edge_rare_digests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_rare_digests);
    CPPUNIT_TEST(registrations_are_renewed_before_they_expire);
    CPPUNIT_TEST(few_instances_watch_the_store_soon_after_the_start);
    CPPUNIT_TEST(an_instance_that_joins_hears_of_the_others_at_once);
    CPPUNIT_TEST(an_instance_ends_within_its_grace_time);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<instance_fleet> fleet;

    static constexpr std::size_t watchers_per_region = 2;

    // Returns the number of instances that watch the store after each of them
    // had the time to choose whom it watches.
    std::size_t settled_watches() const
    {
        fleet->settle();
        const std::lock_guard lock(fleet->data->mutex);
        return fleet->data->watches;
    }

    std::size_t renewals() const
    {
        const std::lock_guard lock(fleet->data->mutex);
        return fleet->data->renewals;
    }

public:
    void setUp() override
    {
        fleet = std::make_unique<instance_fleet>();
        // One digest every 30 s.
        fleet->options.max_digests_per_s = 0.1;
        fleet->options.min_relay_fleet_size = 2;
        for (int n = 0; n < 4; ++n)
            fleet->add_instance("oslo");
        // Now each knows the others.
        for (const auto& it : fleet->instances)
            CPPUNIT_ASSERT(eventually([&] { return it->read("0") == 503; }));
    }

    void tearDown() override
    {
        fleet.reset();
    }

    // Failure scenario: with 295 instances a registration was renewed every
    // 4.9 s and expired after 5 s. Instances were lost from the directory, and
    // instances that watched the store through a peer waited in vain for it.
    void registrations_are_renewed_before_they_expire()
    {
        const auto& bounds = edge::fleet_bounds();
        std::this_thread::sleep_for(bounds.contact);
        CPPUNIT_ASSERT(renewals() >= fleet->instances.size() * 2);
    }

    // Failure scenario: the instances of a large fleet heard of each other one
    // interval after the start, and all of them watched the store until then,
    // while all servers registered.
    void few_instances_watch_the_store_soon_after_the_start()
    {
        CPPUNIT_ASSERT_EQUAL(watchers_per_region, settled_watches());
    }

    // Failure scenario: an instance that joined knew nothing of the others but
    // their registrations, and watched the store, until their next digests.
    void an_instance_that_joins_hears_of_the_others_at_once()
    {
        CPPUNIT_ASSERT_EQUAL(watchers_per_region, settled_watches());
        constexpr int joining = 4;
        for (int n = 0; n < joining; ++n)
            fleet->add_instance("oslo");
        CPPUNIT_ASSERT_EQUAL(watchers_per_region, settled_watches());
    }

    // Failure scenario: a stopping instance looked only with each digest
    // whether its last request had ended, and was killed with requests in
    // progress.
    void an_instance_ends_within_its_grace_time()
    {
        CPPUNIT_ASSERT(fleet->stop() < whole_instance::grace);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_rare_digests);

} // namespace
