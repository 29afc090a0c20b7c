// Division of the descriptors of a process among its uses.

#include <parsleyplank/core/error.hpp>
#include <parsleyplank/edge/descriptor_shares.hpp>
#include <parsleyplank/edge/settings.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>

using namespace parsleyplank;
using namespace parsleyplank::edge;

namespace
{

class edge_descriptor_shares : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_descriptor_shares);
    CPPUNIT_TEST(all_uses_together_stay_below_the_limit);
    CPPUNIT_TEST(callers_get_the_largest_share);
    CPPUNIT_TEST(the_limit_is_read_from_the_settings);
    CPPUNIT_TEST_SUITE_END();

    static std::string settings_text(const std::string& line)
    {
        return "[instance]\nid = \"edge-1\"\nregion = \"oslo\"\n"
               "failure_domain = \"oslo-a\"\naddress = \"127.0.0.1\"\n" +
               line +
               "[listen]\ncallers = \"127.0.0.1:1\"\n"
               "readiness = \"127.0.0.1:2\"\ndirectory = \"127.0.0.1:3\"\n"
               "peer_port = 4\n[store]\naddress = \"127.0.0.1:5\"\n"
               "[failure_domains]\noslo-a = \"oslo\"\n";
    }

public:
    // Guards against connections of callers that leave no descriptor for those
    // to servers. The directory, the health check and the metrics have a share
    // each; a sixteenth of the callers' limit may be refused beyond it.
    void all_uses_together_stay_below_the_limit()
    {
        constexpr std::array limits{64, 256, 1'024, 4'100, 8'192, 65'536};
        for (const std::size_t limit : limits)
        {
            const auto shares = share_descriptors(limit);
            const auto most = shares.callers + 1 + shares.callers / 16 +
                              3 * shares.each_service + shares.idle_servers;
            CPPUNIT_ASSERT(shares.callers > 0);
            CPPUNIT_ASSERT(most < limit);
        }
    }

    void callers_get_the_largest_share()
    {
        const auto shares = share_descriptors(4'100);
        CPPUNIT_ASSERT(shares.callers > 4'100 / 2);
    }

    void the_limit_is_read_from_the_settings()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(4'100),
            parse_settings(settings_text("max_descriptors = 4100\n"), "test")
                .max_descriptors);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(0),
            parse_settings(settings_text(""), "test").max_descriptors);
        CPPUNIT_ASSERT_THROW(
            parse_settings(settings_text("max_descriptors = 10\n"), "test"),
            config_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_descriptor_shares);

} // namespace
