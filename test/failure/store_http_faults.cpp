// Guards how failures of the platform's store are told apart. A write that may
// have taken effect but is reported as not taken, or is sent twice, breaks
// at-most-once requests.

#include "standin/store_server.hpp"
#include "support/eventually.hpp"
#include "support/raw_server.hpp"
#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/store/http_kv_store.hpp>
#include <parsleyplank/store/store_protocol.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>
#include <optional>

using namespace parsleyplank;
using namespace parsleyplank::store;

namespace
{

constexpr milliseconds long_timeout{20'000};
constexpr milliseconds short_timeout{150};

http_settings settings_of(std::uint16_t port, milliseconds timeout)
{
    return {"127.0.0.1", port, timeout, timeout};
}

class store_http_faults : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_http_faults);
    CPPUNIT_TEST(refused_connection_is_unavailable);
    CPPUNIT_TEST(refusing_store_is_unavailable_and_writes_nothing);
    CPPUNIT_TEST(hanging_store_leaves_a_write_unknown);
    CPPUNIT_TEST(lost_answer_leaves_a_write_unknown_that_took_effect);
    CPPUNIT_TEST(slow_store_leaves_a_write_unknown);
    CPPUNIT_TEST(damaged_responses_to_a_write_are_unknown);
    CPPUNIT_TEST(write_is_never_sent_twice);
    CPPUNIT_TEST(read_over_a_closed_connection_is_repeated);
    CPPUNIT_TEST(stale_read_shows_by_its_revision);
    CPPUNIT_TEST(watch_wakes_on_a_write);
    CPPUNIT_TEST(silent_watch_ends_without_entries);
    CPPUNIT_TEST_SUITE_END();

    std::optional<standin::store_server> server;

    void set_fault(const std::string& name, std::uint64_t value)
    {
        server->with_core([&](standin::store_core& core)
                          { standin::set_fault(core, name, value); });
    }

    bool stored(const std::string& key)
    {
        bool found = false;
        server->with_core([&](standin::store_core& core)
                          { found = get(core, key).found.has_value(); });
        return found;
    }

    static void expect_unknown(http_kv_store& store)
    {
        CPPUNIT_ASSERT_THROW(
            store.compare_and_swap("claims/1", revision(0), "v"),
            store_outcome_unknown);
    }

    static void expect_unavailable(http_kv_store& store)
    {
        CPPUNIT_ASSERT_THROW(store.get("claims/1"), store_unavailable);
        CPPUNIT_ASSERT_THROW(store.list("claims/"), store_unavailable);
        CPPUNIT_ASSERT_THROW(
            store.watch("claims/", revision(0), milliseconds(1)),
            store_unavailable);
    }

public:
    void setUp() override
    {
        server.emplace("127.0.0.1", std::uint16_t(0));
    }

    void tearDown() override
    {
        server.reset();
    }

    void refused_connection_is_unavailable()
    {
        std::uint16_t port = 0;
        {
            const test::raw_server closed(
                [](const std::string&) { return test::scripted_response(); });
            port = closed.port();
        }
        http_kv_store store(settings_of(port, long_timeout));
        expect_unavailable(store);
        CPPUNIT_ASSERT_THROW(
            store.compare_and_swap("claims/1", revision(0), "v"),
            store_unavailable);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), store.counts().unavailable);
    }

    void refusing_store_is_unavailable_and_writes_nothing()
    {
        http_kv_store store(settings_of(server->port(), long_timeout));
        set_fault("down", 1);
        expect_unavailable(store);
        CPPUNIT_ASSERT_THROW(
            store.compare_and_swap("claims/1", revision(0), "v"),
            store_unavailable);
        CPPUNIT_ASSERT_THROW(store.compare_and_delete("claims/1", revision(0)),
                             store_unavailable);
        set_fault("down", 0);
        CPPUNIT_ASSERT(!store.get("claims/1").found);
    }

    void hanging_store_leaves_a_write_unknown()
    {
        http_kv_store store(settings_of(server->port(), short_timeout));
        set_fault("hang", 1);
        expect_unavailable(store);
        expect_unknown(store);
        set_fault("hang", 0);
        CPPUNIT_ASSERT(!store.get("claims/1").found);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), store.counts().outcome_unknown);
    }

    void lost_answer_leaves_a_write_unknown_that_took_effect()
    {
        http_kv_store store(settings_of(server->port(), short_timeout));
        set_fault("lost_answers", 1);
        expect_unknown(store);
        CPPUNIT_ASSERT_EQUAL(std::string("v"),
                             store.get("claims/1").found->value);
    }

    void slow_store_leaves_a_write_unknown()
    {
        http_kv_store store(settings_of(server->port(), short_timeout));
        set_fault("slow_ms", 60'000);
        CPPUNIT_ASSERT_THROW(store.get("claims/1"), store_unavailable);
        expect_unknown(store);
        CPPUNIT_ASSERT(stored("claims/1"));
    }

    void damaged_responses_to_a_write_are_unknown()
    {
        const auto whole =
            test::http_text("200 OK", pack_value(protocol::write_response()));
        const std::vector<std::string> damaged{
            "",
            "garbage\r\n\r\n",
            whole.substr(0, whole.size() - 1),
            test::http_text("200 OK", "\xc1"),
            test::http_text("500 Internal Server Error", ""),
            test::http_text("504 Gateway Timeout", "")};
        for (const auto& bytes : damaged)
        {
            const test::raw_server raw(
                [&](const std::string&) {
                    return test::scripted_response{bytes, true};
                });
            http_kv_store store(settings_of(raw.port(), long_timeout));
            expect_unknown(store);
            expect_unavailable(store);
        }
    }

    // Closes each connection at the request that follows a first response, as
    // a store does that drops an idle connection in the wrong moment.
    void write_is_never_sent_twice()
    {
        std::atomic<int> writes{0};
        const test::raw_server raw(
            [&](const std::string& request)
            {
                if (request.find(protocol::swap_path) == std::string::npos)
                    return test::scripted_response{test::http_text(
                        "200 OK", pack_value(protocol::entries_response()))};
                ++writes;
                return test::scripted_response{"", true};
            });
        http_kv_store store(settings_of(raw.port(), long_timeout));
        store.get("claims/1");
        expect_unknown(store);
        CPPUNIT_ASSERT_EQUAL(1, writes.load());
    }

    // The behaviour of libcurl that the rule above is there for.
    void read_over_a_closed_connection_is_repeated()
    {
        std::atomic<int> reads{0};
        const test::raw_server raw(
            [&](const std::string&)
            {
                if (++reads == 2)
                    return test::scripted_response{"", true};
                return test::scripted_response{test::http_text(
                    "200 OK", pack_value(protocol::entries_response()))};
            });
        http_kv_store store(settings_of(raw.port(), long_timeout));
        store.get("claims/1");
        store.get("claims/1");
        CPPUNIT_ASSERT_EQUAL(3, reads.load());
    }

    void stale_read_shows_by_its_revision()
    {
        http_kv_store store(settings_of(server->port(), long_timeout));
        store.compare_and_swap("state/config", revision(0), "old");
        set_fault("stale_reads", 1);
        const auto written =
            store.compare_and_swap("state/config", revision(1), "new");
        CPPUNIT_ASSERT(written.applied);
        const auto read = store.get("state/config");
        CPPUNIT_ASSERT_EQUAL(std::string("old"), read.found->value);
        CPPUNIT_ASSERT(read.store_revision < written.store_revision);
        CPPUNIT_ASSERT(store.list("state/").store_revision <
                       written.store_revision);
        set_fault("stale_reads", 0);
        CPPUNIT_ASSERT(store.get("state/config").store_revision ==
                       written.store_revision);
    }

    // More watches wait than the server has threads.
    void watch_wakes_on_a_write()
    {
        constexpr std::size_t watchers = 8;
        std::vector<std::future<list_result>> waiting;
        for (std::size_t n = 0; n < watchers; ++n)
            waiting.push_back(std::async(
                std::launch::async,
                [&]
                {
                    http_kv_store store(
                        settings_of(server->port(), long_timeout));
                    return store.watch("state/", revision(0), long_timeout);
                }));
        CPPUNIT_ASSERT(test::eventually(
            [&] { return server->waiting_watches() == watchers; }));
        http_kv_store store(settings_of(server->port(), long_timeout));
        store.compare_and_swap("other/key", revision(0), "x");
        store.compare_and_swap("state/config", revision(0), "new");
        for (auto& result : waiting)
        {
            const auto changes = result.get();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.entries.size());
            CPPUNIT_ASSERT_EQUAL(std::string("new"),
                                 changes.entries.front().value);
            CPPUNIT_ASSERT(changes.store_revision == revision(2));
        }
    }

    void silent_watch_ends_without_entries()
    {
        http_kv_store store(settings_of(server->port(), long_timeout));
        set_fault("silent_watch", 1);
        store.compare_and_swap("state/config", revision(0), "new");
        const auto changes =
            store.watch("state/", revision(0), milliseconds(20));
        CPPUNIT_ASSERT(changes.entries.empty());
        CPPUNIT_ASSERT(changes.store_revision == revision(0));
        CPPUNIT_ASSERT(store.get("state/config").found);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_http_faults);

} // namespace
