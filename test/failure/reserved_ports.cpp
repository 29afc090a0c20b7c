// The ports that the tests reserve for listeners which start later.

#include <parsleyplank/core/error.hpp>
#include <parsleyplank/proxy/front_listener.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <support/raw_server.hpp>
#include <support/reserved_port.hpp>

#include <set>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::test;
namespace asio = proxy::asio;
using proxy::tcp;

namespace
{

class reserved_ports : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(reserved_ports);
    CPPUNIT_TEST(listeners_start_and_start_again_on_reserved_ports);
    CPPUNIT_TEST(connections_do_not_take_a_reserved_port);
    CPPUNIT_TEST(a_port_of_a_closed_connection_is_not_reserved);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context io{1};

    std::unique_ptr<proxy::front_listener> listen(std::uint16_t port)
    {
        return std::make_unique<proxy::front_listener>(
            io, steering::server_endpoint{"127.0.0.1", port},
            proxy::front_options{}, [](const proxy::exchange_ptr&) {});
    }

    tcp::socket connect(std::uint16_t port)
    {
        tcp::socket caller(io);
        caller.connect({asio::ip::address_v4::loopback(), port});
        return caller;
    }

public:
    void listeners_start_and_start_again_on_reserved_ports()
    {
        const auto reserved = reserve_port_pair();
        for (int i = 0; i < 2; ++i)
        {
            const auto first = listen(reserved.first.number());
            const auto second = listen(reserved.second.number());
            const auto caller = connect(reserved.second.number());
            CPPUNIT_ASSERT(caller.is_open());
        }
    }

    void connections_do_not_take_a_reserved_port()
    {
        constexpr std::size_t many = 400;
        const raw_server server([](const std::string&)
                                { return scripted_response{}; });
        std::vector<reserved_port_pair> reserved;
        std::set<std::uint16_t> numbers;
        for (std::size_t i = 0; i < many / 4; ++i)
        {
            reserved.push_back(reserve_port_pair());
            numbers.insert(reserved.back().first.number());
            numbers.insert(reserved.back().second.number());
        }
        CPPUNIT_ASSERT_EQUAL(2 * reserved.size(), numbers.size());
        std::vector<tcp::socket> callers;
        for (std::size_t i = 0; i < many; ++i)
        {
            callers.push_back(connect(server.port()));
            CPPUNIT_ASSERT(
                !numbers.contains(callers.back().local_endpoint().port()));
        }
    }

    // Failure scenario: tests failed with "can't listen" on a port next to a
    // free one, which a closed connection of an earlier test still held.
    void a_port_of_a_closed_connection_is_not_reserved()
    {
        const reserved_port server;
        const auto listener = listen(server.number());
        std::uint16_t port = 0;
        {
            const auto caller = connect(server.number());
            port = caller.local_endpoint().port();
        }
        CPPUNIT_ASSERT_THROW(listen(port), parsleyplank::error);
        CPPUNIT_ASSERT_THROW(reserved_port{port}, std::runtime_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reserved_ports);

} // namespace
