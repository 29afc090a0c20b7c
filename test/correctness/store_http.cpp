// Guards the store adapter and the stand-in over real HTTP: conditions on
// revisions, binary values, keys with slashes, and the lagging instance list.

#include "standin/store_server.hpp"
#include "support/http_exchange.hpp"
#include <parsleyplank/core/error.hpp>
#include <parsleyplank/store/http_instance_list.hpp>
#include <parsleyplank/store/http_kv_store.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <optional>

using namespace parsleyplank;
using namespace parsleyplank::store;

namespace
{

listed_instance make_instance(const std::string& id)
{
    return {instance_id(id),
            incarnation(7),
            region_id("oslo"),
            failure_domain_id("oslo-a"),
            "127.0.0.1",
            8080,
            8081,
            8082,
            false};
}

struct connected
{
    standin::store_server server{"127.0.0.1", 0};
    const http_settings settings{"127.0.0.1", server.port(),
                                 milliseconds(20'000), milliseconds(20'000)};
    http_kv_store store{settings};
    http_instance_list instances{settings};
};

class store_http : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_http);
    CPPUNIT_TEST(write_needs_the_expected_revision);
    CPPUNIT_TEST(list_returns_the_prefix_in_key_order);
    CPPUNIT_TEST(binary_value_of_full_size_survives);
    CPPUNIT_TEST(watch_shows_deleted_key_with_revision_zero);
    CPPUNIT_TEST(calls_are_counted_on_both_sides);
    CPPUNIT_TEST(lapsed_lease_deletes_its_keys);
    CPPUNIT_TEST(instance_list_lags_and_freezes);
    CPPUNIT_TEST(damaged_list_entry_is_named);
    CPPUNIT_TEST(faults_and_instances_are_set_over_http);
    CPPUNIT_TEST_SUITE_END();

    std::optional<connected> link;

public:
    void setUp() override
    {
        link.emplace();
    }

    void tearDown() override
    {
        link.reset();
    }

    void write_needs_the_expected_revision()
    {
        const auto made = link->store.compare_and_swap("a/b", revision(0), "1");
        CPPUNIT_ASSERT(made.applied && made.key_revision == revision(1));
        const auto refused =
            link->store.compare_and_swap("a/b", revision(0), "2");
        CPPUNIT_ASSERT(!refused.applied);
        CPPUNIT_ASSERT(refused.key_revision == made.key_revision);
        CPPUNIT_ASSERT(
            !link->store.compare_and_delete("a/b", revision(9)).applied);
        CPPUNIT_ASSERT_EQUAL(std::string("1"),
                             link->store.get("a/b").found->value);
        CPPUNIT_ASSERT(
            link->store.compare_and_delete("a/b", made.key_revision).applied);
        CPPUNIT_ASSERT(!link->store.get("a/b").found);
        // A deleted key is absent: revision 0 is expected again.
        CPPUNIT_ASSERT(
            link->store.compare_and_swap("a/b", revision(0), "3").applied);
    }

    void list_returns_the_prefix_in_key_order()
    {
        for (const auto* key : {"a/2", "b/1", "a/1", "a"})
            link->store.compare_and_swap(key, revision(0), key);
        const auto rows = link->store.list("a/");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), rows.entries.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a/1"), rows.entries.front().key);
        CPPUNIT_ASSERT(rows.entries.front().key_revision == revision(3));
        CPPUNIT_ASSERT(rows.store_revision == revision(4));
    }

    void binary_value_of_full_size_survives()
    {
        std::string value(max_value_bytes, '\0');
        for (std::size_t n = 0; n < value.size(); ++n)
            value[n] = static_cast<char>(n * 7);
        link->store.compare_and_swap("config/part/x", revision(0), value);
        CPPUNIT_ASSERT(link->store.get("config/part/x").found->value == value);
        CPPUNIT_ASSERT_THROW(link->store.compare_and_swap(
                                 "config/part/y", revision(0), value + "x"),
                             error);
        CPPUNIT_ASSERT(!link->store.get("config/part/y").found);
    }

    void watch_shows_deleted_key_with_revision_zero()
    {
        const auto made = link->store.compare_and_swap("a/b", revision(0), "1");
        link->store.compare_and_delete("a/b", made.key_revision);
        const auto rows =
            link->store.watch("a/", made.store_revision, milliseconds(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), rows.entries.size());
        CPPUNIT_ASSERT(rows.entries.front().key_revision == revision(0));
    }

    void calls_are_counted_on_both_sides()
    {
        link->store.compare_and_swap("a", revision(0), "1");
        link->store.compare_and_delete("a", revision(9));
        link->store.get("a");
        link->store.list("a");
        link->store.watch("a", revision(0), milliseconds(0));
        const auto& counts = link->store.counts();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.swaps);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.gets);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), counts.unavailable);
        CPPUNIT_ASSERT(counts.bytes_received > 0);
        link->server.with_core(
            [](standin::store_core& core)
            {
                CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), core.counts.swaps);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), core.counts.deletes);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), core.counts.watches);
            });
    }

    void lapsed_lease_deletes_its_keys()
    {
        standin::store_core core;
        const time_point now{std::chrono::hours(1)};
        const auto id = standin::grant_lease(core, milliseconds(100), now);
        standin::compare_and_swap(core, "held", revision(0), "v", id);
        standin::compare_and_swap(core, "free", revision(0), "v");
        CPPUNIT_ASSERT(standin::keep_lease(core, id, now + milliseconds(99)));
        standin::lapse_due_leases(core, now + milliseconds(198));
        CPPUNIT_ASSERT(standin::get(core, "held").found);
        standin::lapse_due_leases(core, now + milliseconds(199));
        CPPUNIT_ASSERT(!standin::get(core, "held").found);
        CPPUNIT_ASSERT(standin::get(core, "free").found);
        CPPUNIT_ASSERT(!standin::keep_lease(core, id, now + milliseconds(199)));
    }

    void instance_list_lags_and_freezes()
    {
        standin::store_core core;
        const time_point now{std::chrono::hours(1)};
        core.faults.list_lag = milliseconds(100);
        standin::put_instance(core, make_instance("entry-1"), now);
        CPPUNIT_ASSERT(
            standin::read_instances(core, now + milliseconds(99)).empty());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1),
            standin::read_instances(core, now + milliseconds(100)).size());
        standin::set_fault(core, "list_frozen", 1);
        standin::remove_instance(core, instance_id("entry-1"), now);
        const auto later = now + milliseconds(1'000);
        CPPUNIT_ASSERT(!standin::read_instances(core, later).empty());
        standin::set_fault(core, "list_frozen", 0);
        CPPUNIT_ASSERT(standin::read_instances(core, later).empty());
    }

    void damaged_list_entry_is_named()
    {
        const auto whole = to_json(make_instance("entry-1"));
        CPPUNIT_ASSERT(parse_listed_instance(whole) ==
                       make_instance("entry-1"));
        for (const auto& member : whole.items())
        {
            auto damaged = whole;
            damaged[member.key()] = nullptr;
            CPPUNIT_ASSERT_THROW(parse_listed_instance(damaged), codec_error);
        }
        auto damaged = whole;
        damaged["peer_port"] = 65'536;
        CPPUNIT_ASSERT_THROW(parse_listed_instance(damaged), codec_error);
    }

    void faults_and_instances_are_set_over_http();
};

// The demo and the process tests switch faults this way.
void store_http::faults_and_instances_are_set_over_http()
{
    const auto put = [&](const std::string& path, const std::string& body)
    {
        return test::http_exchange(link->server.port(), "PUT", path, body)
            .status;
    };
    const auto entry = make_instance("entry-1");
    CPPUNIT_ASSERT_EQUAL(200,
                         put("/v1/instances/entry-1", to_json(entry).dump()));
    CPPUNIT_ASSERT(link->instances.read() == std::vector{entry});
    CPPUNIT_ASSERT_EQUAL(200, put("/fault/down?value=1", ""));
    CPPUNIT_ASSERT_THROW(link->store.get("a"), store_unavailable);
    // A store that is down does not take the instance list with it.
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), link->instances.read().size());
    CPPUNIT_ASSERT_EQUAL(200, put("/fault/list_down?value=1", ""));
    CPPUNIT_ASSERT_THROW(link->instances.read(), store_unavailable);
    CPPUNIT_ASSERT_EQUAL(400, put("/fault/rain?value=1", ""));
    CPPUNIT_ASSERT_EQUAL(400, put("/fault/down?value=1x", ""));
    const auto counts = nlohmann::json::parse(
        test::http_exchange(link->server.port(), "GET", "/counts", "").body);
    CPPUNIT_ASSERT_EQUAL(3, counts["instance_reads"].get<int>());
}

CPPUNIT_TEST_SUITE_REGISTRATION(store_http);

} // namespace
