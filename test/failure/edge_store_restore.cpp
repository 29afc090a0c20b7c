// Whole instances while the store comes back from an older copy: guards against
// instances that stay unregistered, and against servers and evacuations that
// return to what the copy says.

#include <cppunit/extensions/HelperMacros.h>
#include <support/gate.hpp>
#include <support/whole_instance.hpp>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

class edge_store_restore : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_store_restore);
    CPPUNIT_TEST(instances_write_again_what_the_copy_lacks);
    CPPUNIT_TEST_SUITE_END();

    static bool has_key(instance_fleet& fleet, const std::string& key)
    {
        const std::lock_guard lock(fleet.data->mutex);
        return fleet.data->entries.contains(key);
    }

    static bool has_all_records(instance_fleet& fleet)
    {
        return has_key(fleet, "steer/members/edge-1") &&
               has_key(fleet, "steer/members/edge-2") &&
               has_key(fleet, "steer/roster/edge-1") &&
               has_key(fleet, "steer/roster/edge-2");
    }

public:
    // The copy is from before the second instance started.
    void instances_write_again_what_the_copy_lacks()
    {
        instance_fleet fleet;
        fleet.add_instance("north");
        CPPUNIT_ASSERT(
            eventually([&] { return has_key(fleet, "steer/roster/edge-1"); }));
        const auto copy = copy_store(*fleet.data);
        fleet.add_instance("south");
        CPPUNIT_ASSERT(eventually([&] { return has_all_records(fleet); }));
        restore_store(*fleet.data, copy);
        CPPUNIT_ASSERT(eventually([&] { return has_all_records(fleet); }));
        // The answers of the directory go by the live instances.
        CPPUNIT_ASSERT(eventually(
            [&]
            {
                return fleet.instances.front()->look_up("south") ==
                       fleet.instances.back()->look_up("south");
            }));
        CPPUNIT_ASSERT(fleet.stop() < whole_instance::grace);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_store_restore);

} // namespace
