// Instances of a large fleet that watch the store for their region and are cut
// off from it.

#include <cppunit/extensions/HelperMacros.h>
#include <support/eventually.hpp>
#include <support/whole_instance.hpp>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

class edge_store_cut : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_store_cut);
    CPPUNIT_TEST(a_region_hears_of_changes_from_another_one);
    CPPUNIT_TEST_SUITE_END();

public:
    // Failure scenario: both instances that watch the store for a region of 103
    // were cut off. All of them accepted a withdrawn key until the next digests
    // of the other regions, 4 s after the change.
    void a_region_hears_of_changes_from_another_one()
    {
        const raw_server server(
            [](const std::string& request) {
                return scripted_response{echo_response(request, "ok"), false};
            });
        instance_fleet fleet;
        const auto added = fleet.describe_server("oslo", server.port());
        // One digest every 70 s.
        fleet.options.max_digests_per_s = 0.1;
        fleet.options.min_relay_fleet_size = 2;
        constexpr double fast_mbps = 120;
        constexpr double slow_mbps = 12;
        constexpr int watchers_per_region = 2;
        for (const auto* const region : {"oslo", "bergen"})
            for (int n = 0; n < 4; ++n)
                fleet.add_instance(region, n < watchers_per_region ? fast_mbps
                                                                   : slow_mbps);
        for (const auto& it : fleet.instances)
            CPPUNIT_ASSERT(eventually([&] { return it->read("0") == 503; }));
        fleet.settle();

        for (std::size_t n = 0; n < watchers_per_region; ++n)
            fleet.instances[n]->cut_off_from_store(*fleet.data);
        const auto start = std::chrono::steady_clock::now();
        fleet.register_server(added);
        for (const auto& it : fleet.instances)
            CPPUNIT_ASSERT(eventually([&] { return it->read("0") == 200; }));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start <
                       edge::fleet_bounds().contact);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_store_cut);

} // namespace
