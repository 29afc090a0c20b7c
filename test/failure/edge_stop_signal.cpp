// A stop signal that comes while the control thread is busy: guards against a
// process that counts its grace time from when it handles the signal, and is
// killed before its own end.

#include <cppunit/extensions/HelperMacros.h>
#include <support/gate.hpp>
#include <support/whole_instance.hpp>

#include <atomic>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

class edge_stop_signal : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_stop_signal);
    CPPUNIT_TEST(a_busy_control_thread_does_not_delay_the_end);
    CPPUNIT_TEST_SUITE_END();

public:
    // A request whose server is silent keeps the process until its last moment.
    void a_busy_control_thread_does_not_delay_the_end()
    {
        std::atomic<bool> silent{false};
        raw_server server(
            [&](const std::string& request) {
                return scripted_response{silent ? ""
                                                : echo_response(request, "ok")};
            });
        instance_fleet fleet;
        fleet.add_server("oslo", server.port());
        fleet.add_instance("oslo");
        const auto& instance = *fleet.instances.front();
        CPPUNIT_ASSERT(eventually([&] { return instance.read("0") == 200; }));
        silent = true;
        raw_connection caller(instance.callers_port());
        caller.send(edge_fixture::request("GET", "/read/1", "a"));
        fleet.decoding_time = milliseconds(1'500);
        write_key(*fleet.data, fleet.configuration_key(), "record");
        CPPUNIT_ASSERT(eventually([&] { return fleet.decoding.load(); }));
        CPPUNIT_ASSERT(fleet.stop() < whole_instance::grace);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_stop_signal);

} // namespace
