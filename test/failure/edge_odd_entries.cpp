// An entry of the store that another client has written must neither end the
// instances that read it nor keep them from following the store.

#include <cppunit/extensions/HelperMacros.h>
#include <support/eventually.hpp>
#include <support/raw_server.hpp>
#include <support/whole_instance.hpp>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

class edge_odd_entries : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_odd_entries);
    CPPUNIT_TEST(an_instance_outlives_odd_entries_among_the_servers);
    CPPUNIT_TEST(an_instance_outlives_odd_entries_among_the_members);
    CPPUNIT_TEST(an_instance_outlives_an_odd_configuration);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t depth = 300'000;

    std::shared_ptr<memory_store_data> data =
        std::make_shared<memory_store_data>();
    const edge::adapter adapter = platform::make_adapter();
    std::unique_ptr<raw_server> server;
    std::unique_ptr<whole_instance> instance;

    static std::string nested()
    {
        return std::string(depth, '[') + std::string(depth, ']');
    }

    // A configuration that sends all paths of the host to one service. The
    // cell is that of a field which the route does not need.
    static std::string configuration(int version, const std::string& cell)
    {
        return R"({"version":")" + std::to_string(version) +
               R"(","services":{"columns":["name","healthPath"],)"
               R"("rows":[["parts","/healthz"]]},"routes":{"columns":)"
               R"(["name","host","pathPrefix","routeType","service","novel"],)"
               R"("rows":[["r)" +
               std::to_string(version) +
               R"(","shop.example","/read/","safe","parts",)" + cell + "]]}}";
    }

    static std::string server_record(const std::string& address,
                                     const std::string& capacity)
    {
        return R"({"address":")" + address +
               R"(","info":{"service":"parts","version":"v1",)"
               R"("zone":"oslo-a","capacity":)" +
               capacity +
               R"(},"status":{"state":"ready","sequence":1,)"
               R"("warmupLeft":"0ms"}})";
    }

    std::string server_address() const
    {
        return "127.0.0.1:" + std::to_string(server->port());
    }

    void write_configuration(int version, const std::string& cell = "null")
    {
        write_key(*data, adapter.layout.configuration_key,
                  configuration(version, cell));
    }

    void write_server(const std::string& id, const std::string& record)
    {
        write_key(*data, adapter.layout.server_prefix + id, record);
    }

    // Writes a server after the odd entries, and expects its responses.
    void expect_service()
    {
        write_server("good", server_record(server_address(), "4"));
        CPPUNIT_ASSERT(
            eventually([this] { return instance->read("0") == 200; }));
    }

    void write_odd_servers()
    {
        write_server("nested", nested());
        write_server("nested-field", server_record(server_address(), nested()));
        for (const auto* const number :
             {"1e400", "18446744073709551615", "-1", "\"4\"", "{}"})
            write_server(std::string("number ") + number,
                         server_record(server_address(), number));
        for (const auto* const port : {"0", "65536", "99999999999", "-80"})
            write_server(std::string("port ") + port,
                         server_record(std::string("127.0.0.1:") + port, "4"));
        write_server("bytes", "\xff\xfe{");
    }

public:
    void setUp() override
    {
        server = std::make_unique<raw_server>(
            [](const std::string& request) {
                return scripted_response{echo_response(request, "ok"), false};
            });
        write_configuration(1);
    }

    void tearDown() override
    {
        if (instance)
            std::raise(SIGTERM);
        if (instance)
            instance->wait();
        close_store(*data);
        instance.reset();
    }

    void start_instance()
    {
        instance = std::make_unique<whole_instance>(
            1, "oslo", adapter, data,
            edge::control_options_for(edge::fleet_bounds()));
    }

    // Failure scenario: one odd entry among those of the servers ended the
    // machines that read the list again and again.
    void an_instance_outlives_odd_entries_among_the_servers()
    {
        // In the listing first, then as changes.
        write_odd_servers();
        start_instance();
        expect_service();
        write_odd_servers();
        write_key(*data, adapter.layout.server_prefix + "good", nested());
        CPPUNIT_ASSERT(
            eventually([this] { return instance->read("0") != 200; }));
        expect_service();
    }

    // Failure scenario: an address that is none ended the traffic thread when
    // it asked that member for a token.
    void an_instance_outlives_odd_entries_among_the_members()
    {
        start_instance();
        CPPUNIT_ASSERT(
            eventually([this] { return instance->read("0") == 503; }));
        edge::member_record odd;
        odd.id = instance_id("odd");
        odd.domain = failure_domain_id("oslo-a");
        odd.region = region_id("oslo");
        odd.started_ms = 1;
        odd.address = "not an address";
        odd.caller_port = 80;
        odd.peer_port = 81;
        write_key(*data, "steer/members/odd", pack_value(odd));
        odd.address = "127.0.0.1";
        odd.peer_port = 65'535;
        write_key(*data, "steer/members/odd-port", pack_value(odd));
        write_key(*data, "steer/members/nested", std::string(depth, '\x91'));
        expect_service();
        CPPUNIT_ASSERT(instance->look_up("oslo").find("127.0.0.1:80") ==
                       std::string::npos);
        CPPUNIT_ASSERT(instance->look_up("oslo").find("not an address") ==
                       std::string::npos);
    }

    // Failure scenario: the cells of a configuration were copied recursively.
    void an_instance_outlives_an_odd_configuration()
    {
        start_instance();
        expect_service();
        write_configuration(2, nested());
        write_configuration(3);
        expect_service();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_odd_entries);

} // namespace
