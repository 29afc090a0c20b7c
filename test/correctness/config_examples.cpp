// Guards the example configurations: they are valid, and of the sizes that
// docs/design.md states for the two deployments.

#include <parsleyplank/config/service_file.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <map>

using namespace parsleyplank;
using namespace parsleyplank::config;

namespace
{

// Servers, slots and connections of an upstream.
using sizes = std::array<std::size_t, 3>;

std::map<std::string, sizes> upstream_sizes(const bundle& content)
{
    std::map<std::string, sizes> found;
    for (const auto& v : content.upstreams)
        found[v.id.value] = {v.servers.size(), v.slots_per_server,
                             v.connection_budget};
    return found;
}

class config_examples : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_examples);
    CPPUNIT_TEST(tokachi_is_valid_and_complete);
    CPPUNIT_TEST(skuffedel_is_valid_and_complete);
    CPPUNIT_TEST_SUITE_END();

    static bundle load(const std::string& name)
    {
        const std::array<std::filesystem::path, 1> paths{
            PARSLEYPLANK_GOLDEN_DIR "/../../examples/" + name};
        const auto files = collect_files(paths);
        CPPUNIT_ASSERT_EQUAL(std::string(), to_string(check_files(files)));
        const bundle& v = files.content;
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, v.regions.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, v.links.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, v.customers.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, v.keys.size());
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                             std::ranges::count(v.routes, true, &route::open));
        return v;
    }

public:
    void tokachi_is_valid_and_complete()
    {
        const auto v = load("tokachi");
        CPPUNIT_ASSERT_EQUAL(std::string("doto"),
                             v.settings.store_region.value);
        CPPUNIT_ASSERT_EQUAL(500e6, v.links[0].capacity.value);
        const std::map<std::string, sizes> expected{{"stockbook", {18, 6, 360}},
                                                    {"orderdesk", {12, 4, 360}},
                                                    {"batchbox", {12, 3, 360}},
                                                    {"duesroll", {12, 3, 360}}};
        CPPUNIT_ASSERT(expected == upstream_sizes(v));
    }

    void skuffedel_is_valid_and_complete()
    {
        const auto v = load("skuffedel");
        CPPUNIT_ASSERT_EQUAL(std::string("oslo"),
                             v.settings.store_region.value);
        CPPUNIT_ASSERT_EQUAL(35e6, v.links[0].capacity.value);
        const std::map<std::string, sizes> expected{
            {"katalog", {14, 4, 330}},
            {"retur", {12, 3, 330}},
            {"bildemottak", {12, 3, 330}},
            {"ordre", {12, 3, 330}}};
        CPPUNIT_ASSERT(expected == upstream_sizes(v));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_examples);

} // namespace
