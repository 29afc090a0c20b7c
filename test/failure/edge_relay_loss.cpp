// What an instance that gets the changes of the store through a peer does when
// this peer is lost.

#include <parsleyplank/edge/settings.hpp>
#include <parsleyplank/edge/store_feed.hpp>
#include <parsleyplank/store/store_protocol.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <support/edge_fixture.hpp>
#include <support/eventually.hpp>
#include <support/memory_store.hpp>
#include <support/raw_server.hpp>

#include <atomic>

using namespace parsleyplank;
using namespace parsleyplank::edge;
using namespace parsleyplank::test;

namespace
{

// A peer that answers each watch at once, with a change of one key if it
// relays.
class scripted_relay
{
public:
    enum class behavior
    {
        relays,
        is_full,
        is_silent,
        has_nothing_new
    };

    explicit scripted_relay(behavior what)
        : server([this, what](const std::string& /*request*/)
                 { return answer(what); })
    {
    }

    steering::server_endpoint endpoint() const
    {
        return {"127.0.0.1", server.port()};
    }

    std::atomic<int> watches{0};

private:
    scripted_response answer(behavior what)
    {
        ++watches;
        if (what == behavior::is_silent)
            return {};
        if (what == behavior::is_full)
            return {http_text("503 Service Unavailable", "full"), false};
        if (what == behavior::has_nothing_new)
            return {http_text("200 OK",
                              pack_value(store::protocol::entries_response{
                                  revision(1), {}})),
                    false};
        const revision at(static_cast<std::uint64_t>(100 + watches));
        return {
            http_text("200 OK", pack_value(store::protocol::entries_response{
                                    at, {{"key", "value", at}}})),
            false};
    }

    raw_server server;
};

class edge_relay_loss : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_relay_loss);
    CPPUNIT_TEST(a_killed_relay_is_replaced_by_another_one);
    CPPUNIT_TEST(a_full_relay_is_replaced_by_another_one);
    CPPUNIT_TEST(a_silent_relay_is_replaced_within_the_contact_bound);
    CPPUNIT_TEST(without_any_relay_the_store_is_watched);
    CPPUNIT_TEST(two_silent_relays_do_not_keep_the_feed_from_the_store);
    CPPUNIT_TEST(a_peer_that_is_ahead_is_asked_once);
    CPPUNIT_TEST_SUITE_END();

    using behavior = scripted_relay::behavior;

    std::shared_ptr<memory_store_data> data =
        std::make_shared<memory_store_data>();
    std::atomic<int> relayed_changes{0};
    std::atomic<int> store_changes{0};
    const reserved_port closed;
    const reserved_port also_closed;
    std::unique_ptr<store_feed> feed;

    // Lets the feed watch these peers. They are selected after its first watch,
    // that of the store.
    void follow(std::vector<steering::server_endpoint> peers)
    {
        const auto count =
            [this](const store::list_result& changes, const std::string& source)
        {
            const auto n = static_cast<int>(changes.entries.size());
            (source == "store" ? store_changes : relayed_changes) += n;
        };
        feed = std::make_unique<store_feed>(
            std::make_unique<memory_store>(data), "", feed_options{},
            feed_handlers{[](const store::list_result&) {}, count, [] {},
                          [](const std::string&) {},
                          [](const std::string&) {
                          }});
        CPPUNIT_ASSERT(eventually([this] { return watches_of_store() == 1; }));
        feed->watch_peers(std::move(peers), feed_options().watch_wait);
        write_key(*data, "key", "value");
        CPPUNIT_ASSERT(eventually([this] { return store_changes == 1; }));
    }

    std::size_t watches_of_store() const
    {
        const std::lock_guard lock(data->mutex);
        return data->watches;
    }

    // Nothing listens there.
    static steering::server_endpoint endpoint_of(const reserved_port& port)
    {
        return {"127.0.0.1", port.number()};
    }

    // The changes come through this peer, and the store is not watched.
    void expect_changes_through(const scripted_relay& relay)
    {
        CPPUNIT_ASSERT(eventually([this] { return relayed_changes >= 3; }));
        CPPUNIT_ASSERT(relay.watches >= 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), watches_of_store());
    }

public:
    void tearDown() override
    {
        close_store(*data);
        feed.reset();
    }

    // Failure scenario: all peers below a relay that had been lost watched the
    // store, 100 of them in a large region.
    void a_killed_relay_is_replaced_by_another_one()
    {
        const scripted_relay other(behavior::relays);
        follow({endpoint_of(closed), other.endpoint()});
        expect_changes_through(other);
    }

    void a_full_relay_is_replaced_by_another_one()
    {
        const scripted_relay full(behavior::is_full);
        const scripted_relay other(behavior::relays);
        follow({full.endpoint(), other.endpoint()});
        expect_changes_through(other);
        // It is not asked again as long as the other one answers.
        CPPUNIT_ASSERT_EQUAL(1, full.watches.load());
    }

    // A frozen process: the system accepts connections, nothing answers.
    void a_silent_relay_is_replaced_within_the_contact_bound()
    {
        const scripted_relay silent(behavior::is_silent);
        const scripted_relay other(behavior::relays);
        follow({silent.endpoint(), other.endpoint()});
        CPPUNIT_ASSERT(eventually([&] { return silent.watches == 1; }));
        const auto start = std::chrono::steady_clock::now();
        expect_changes_through(other);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start <
                       edge::fleet_bounds().contact);
    }

    void without_any_relay_the_store_is_watched()
    {
        follow({endpoint_of(closed), endpoint_of(also_closed)});
        CPPUNIT_ASSERT(eventually([this] { return watches_of_store() == 1; }));
        write_key(*data, "key", "value");
        CPPUNIT_ASSERT(eventually([this] { return store_changes == 2; }));
        CPPUNIT_ASSERT_EQUAL(0, relayed_changes.load());
    }

    // Failure scenario: the first relay was tried again as soon as the second
    // one had been given up.
    void two_silent_relays_do_not_keep_the_feed_from_the_store()
    {
        const scripted_relay silent(behavior::is_silent);
        const scripted_relay other(behavior::is_silent);
        follow({silent.endpoint(), other.endpoint()});
        write_key(*data, "key", "value");
        CPPUNIT_ASSERT(eventually([this] { return store_changes == 2; }));
        CPPUNIT_ASSERT_EQUAL(1, silent.watches.load());
        CPPUNIT_ASSERT_EQUAL(1, other.watches.load());
    }

    // Failure scenario: a region had no changes while the instances that watch
    // the store for it were cut off from the store.
    void a_peer_that_is_ahead_is_asked_once()
    {
        const scripted_relay behind(behavior::has_nothing_new);
        const scripted_relay ahead(behavior::relays);
        follow({behind.endpoint()});
        const auto newest = revision(101);
        feed->catch_up(ahead.endpoint(), newest);
        CPPUNIT_ASSERT(eventually([this] { return relayed_changes == 1; }));
        feed->catch_up(ahead.endpoint(), newest);
        const auto watches = behind.watches.load();
        CPPUNIT_ASSERT(
            eventually([&] { return behind.watches > watches + 1; }));
        CPPUNIT_ASSERT_EQUAL(1, ahead.watches.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_relay_loss);

} // namespace
