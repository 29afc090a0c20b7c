// A process that starts again must learn everything from the store: what a peer
// knows may be older than what the process had acknowledged before, such as the
// withdrawal of a key or the leaving of a server.

#include <parsleyplank/edge/store_feed.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <support/eventually.hpp>
#include <support/raw_server.hpp>

#include <atomic>

using namespace parsleyplank;
using namespace parsleyplank::edge;
using namespace parsleyplank::test;

namespace
{

// A store that is unreachable until it is switched on. Then it lists one key at
// revision 9 and has no changes.
class switched_store final : public store::lease_store
{
public:
    explicit switched_store(const std::atomic<bool>& reachable) : on(reachable)
    {
    }

    store::read_result get(const std::string& /*key*/) override
    {
        throw store_unavailable("not used");
    }

    store::list_result list(const std::string& /*prefix*/) override
    {
        require_reachable();
        return {{{"key", "value", revision(9)}}, revision(9)};
    }

    store::write_result compare_and_swap(const std::string& /*key*/,
                                         revision /*expected*/,
                                         const std::string& /*value*/) override
    {
        throw store_unavailable("not used");
    }

    store::write_result compare_and_delete(const std::string& /*key*/,
                                           revision /*expected*/) override
    {
        throw store_unavailable("not used");
    }

    store::list_result watch(const std::string& /*prefix*/, revision after,
                             milliseconds /*wait*/) override
    {
        require_reachable();
        return {{}, after};
    }

    store::commit_outcome commit(const store::transaction& /*changes*/) override
    {
        throw store_unavailable("not used");
    }

    store::lease_id grant_lease(milliseconds /*ttl*/) override
    {
        throw store_unavailable("not used");
    }

    bool renew_lease(store::lease_id /*lease*/) override
    {
        throw store_unavailable("not used");
    }

    void end_lease(store::lease_id /*lease*/) override
    {
        throw store_unavailable("not used");
    }

private:
    void require_reachable() const
    {
        if (!on)
            throw store_unavailable("switched off");
    }

    const std::atomic<bool>& on;
};

class edge_restart : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_restart);
    CPPUNIT_TEST(without_the_store_a_new_process_asks_no_peer);
    CPPUNIT_TEST_SUITE_END();

public:
    void without_the_store_a_new_process_asks_no_peer()
    {
        std::atomic<bool> reachable{false};
        std::atomic<int> asked_peer{0};
        std::atomic<int> failures{0};
        std::atomic<int> listings{0};
        std::atomic<int> changes{0};
        const raw_server peer(
            [&](const std::string&)
            {
                ++asked_peer;
                return scripted_response{http_text("200 OK", ""), false};
            });
        feed_options options;
        options.retry_delay = milliseconds(1);
        options.peer_watch_wait = milliseconds(1);
        store_feed feed(
            std::make_unique<switched_store>(reachable), "", options,
            {[&](const store::list_result&) { ++listings; },
             [&](const store::list_result&, const std::string&) { ++changes; },
             [] {}, [&](const std::string&) { ++failures; },
             [](const std::string&) {
             }});
        feed.watch_peers({{"127.0.0.1", peer.port()}},
                         edge::feed_options().watch_wait);
        CPPUNIT_ASSERT(eventually([&] { return failures > 20; }));
        CPPUNIT_ASSERT_EQUAL(0, asked_peer.load());
        CPPUNIT_ASSERT_EQUAL(0, changes.load());
        // Afterwards the peer's changes are taken, from the listing on.
        reachable = true;
        CPPUNIT_ASSERT(eventually([&] { return asked_peer > 0; }));
        CPPUNIT_ASSERT_EQUAL(1, listings.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_restart);

} // namespace
