// Tests the change relay: a peer that watches through it must not miss a
// change, and must get status 410 when the relay no longer has all changes
// after the peer's revision.

#include <parsleyplank/edge/change_relay.hpp>
#include <parsleyplank/store/store_protocol.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::edge;
namespace protocol = parsleyplank::store::protocol;

namespace
{

class edge_change_relay : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_change_relay);
    CPPUNIT_TEST(answers_503_before_the_first_listing);
    CPPUNIT_TEST(a_listing_includes_later_changes);
    CPPUNIT_TEST(a_watch_waits_for_the_next_change);
    CPPUNIT_TEST(a_watch_returns_missed_changes_and_removals);
    CPPUNIT_TEST(a_watch_from_before_a_listing_has_to_list_again);
    CPPUNIT_TEST(a_watch_beyond_the_maximum_is_refused);
    CPPUNIT_TEST(all_answers_are_counted);
    CPPUNIT_TEST(a_large_answer_is_compressed_for_peers_that_accept_it);
    CPPUNIT_TEST(repeated_entries_are_kept_but_not_passed_on);
    CPPUNIT_TEST(damaged_requests_are_refused);
    CPPUNIT_TEST_SUITE_END();

    const time_point start{std::chrono::hours(1)};
    static constexpr std::size_t max_watches = 3;
    change_relay relay{max_watches};

    static store::entry entry(const std::string& key, std::uint64_t at)
    {
        return {key, at == 0 ? "" : "v" + std::to_string(at), revision(at)};
    }

    proxy::exchange_ptr send(const std::string& path, const std::string& body,
                             const std::string& encoding = "")
    {
        auto ex = std::make_shared<proxy::exchange>();
        if (!encoding.empty())
            ex->request.set("Accept-Encoding", encoding);
        ex->request.target(path);
        ex->request.body() = body;
        relay.serve(ex, start);
        return ex;
    }

    proxy::exchange_ptr watch(std::uint64_t after,
                              const std::string& encoding = "")
    {
        return send(
            protocol::watch_path,
            pack_value(protocol::watch_request{"", revision(after), 5'000}),
            encoding);
    }

    static protocol::entries_response body_of(const proxy::exchange& ex)
    {
        CPPUNIT_ASSERT(ex.response.has_value());
        CPPUNIT_ASSERT_EQUAL(200U, ex.response->result_int());
        return unpack_value<protocol::entries_response>(ex.response->body(),
                                                        "relay");
    }

public:
    void answers_503_before_the_first_listing()
    {
        const auto ex = watch(0);
        CPPUNIT_ASSERT_EQUAL(503U, ex->response->result_int());
    }

    void a_listing_includes_later_changes()
    {
        relay.apply_listing({{entry("a", 1), entry("b", 2)}, revision(5)});
        relay.apply_changes({{entry("a", 0), entry("c", 7)}, revision(7)});
        const auto body = body_of(
            *send(protocol::list_path, pack_value(protocol::read_request{""})));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), body.entries.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), body.entries.front().key);
        CPPUNIT_ASSERT(body.store_revision == revision(7));
    }

    void a_watch_waits_for_the_next_change()
    {
        relay.apply_listing({{entry("a", 1)}, revision(5)});
        const auto ex = watch(5);
        CPPUNIT_ASSERT(!ex->response);
        relay.apply_changes({{entry("a", 6)}, revision(6)});
        CPPUNIT_ASSERT_EQUAL(std::string("v6"),
                             body_of(*ex).entries.front().value);
        const auto idle = watch(6);
        relay.expire_watches(start + milliseconds(4'999));
        CPPUNIT_ASSERT(!idle->response);
        relay.expire_watches(start + milliseconds(5'000));
        CPPUNIT_ASSERT(body_of(*idle).entries.empty());
    }

    void a_watch_returns_missed_changes_and_removals()
    {
        relay.apply_listing({{entry("a", 1)}, revision(5)});
        relay.apply_changes({{entry("b", 6)}, revision(6)});
        relay.apply_changes({{entry("a", 0)}, revision(7)});
        const auto body = body_of(*watch(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), body.entries.size());
        CPPUNIT_ASSERT(body.entries.back().key_revision == revision(0));
        CPPUNIT_ASSERT(body.store_revision == revision(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), body_of(*watch(6)).entries.size());
    }

    // A listing does not show removals before it, so the changes since an older
    // revision are unknown.
    void a_watch_from_before_a_listing_has_to_list_again()
    {
        relay.apply_listing({{entry("a", 1)}, revision(5)});
        const auto waiting = watch(5);
        relay.apply_listing({{}, revision(9)});
        CPPUNIT_ASSERT_EQUAL(410U, waiting->response->result_int());
        CPPUNIT_ASSERT_EQUAL(410U, watch(6)->response->result_int());
    }

    // Failure scenario: one instance served a whole region, and each change
    // waited for its link.
    void a_watch_beyond_the_maximum_is_refused()
    {
        relay.apply_listing({{entry("a", 1)}, revision(5)});
        std::vector<proxy::exchange_ptr> waiting;
        for (std::size_t n = 0; n < max_watches; ++n)
            waiting.push_back(watch(5));
        CPPUNIT_ASSERT_EQUAL(503U, watch(5)->response->result_int());
        // One of a peer that has left makes room.
        proxy::cancel(*waiting.front(), close_reason::caller_left);
        CPPUNIT_ASSERT(!watch(5)->response);
        CPPUNIT_ASSERT_EQUAL(503U, watch(5)->response->result_int());
        const auto relayed =
            relay.apply_changes({{entry("a", 6)}, revision(6)});
        CPPUNIT_ASSERT_EQUAL(max_watches, relayed.watches);
        CPPUNIT_ASSERT_EQUAL(waiting.back()->response->body().size() *
                                 max_watches,
                             relayed.bytes);
    }

    // Answers to peers that lag behind went uncounted, so that the bytes that a
    // relay sends could not be told.
    void all_answers_are_counted()
    {
        relay.apply_listing({{entry("a", 1)}, revision(5)});
        const auto waiting = watch(5);
        relay.apply_changes({{entry("a", 6)}, revision(6)});
        const auto late = watch(5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), relay.answered().watches);
        CPPUNIT_ASSERT_EQUAL(waiting->response->body().size() +
                                 late->response->body().size(),
                             relay.answered().bytes);
    }

    // Uncompressed records of servers were most of what relays of a fleet of
    // 300 instances sent. A peer of an older version does not ask for
    // compression.
    void a_large_answer_is_compressed_for_peers_that_accept_it()
    {
        const std::string record(5'000, 'r');
        relay.apply_listing({{entry("a", 1)}, revision(5)});
        const auto older = watch(5);
        const auto newer = watch(5, "gzip");
        relay.apply_changes({{{"a", record, revision(6)}}, revision(6)});
        CPPUNIT_ASSERT_EQUAL(record, body_of(*older).entries.front().value);
        CPPUNIT_ASSERT_EQUAL(std::string("gzip"),
                             std::string(proxy::header_value(
                                 *newer->response, "Content-Encoding")));
        CPPUNIT_ASSERT(newer->response->body().size() < record.size() / 10);
    }

    // Each cold server reports the rest of its warm-up every 1.5 s. Passed on
    // to all peers, these reports were most of the changes of a large fleet.
    void repeated_entries_are_kept_but_not_passed_on()
    {
        relay.apply_listing({{entry("a", 1)}, revision(5)});
        const auto waiting = watch(5);
        relay.apply_changes({{entry("a", 6)}, revision(6)}, {"a"});
        CPPUNIT_ASSERT(!waiting->response);
        // Otherwise the peer would take itself to be behind.
        relay.pass_revision_on();
        CPPUNIT_ASSERT(body_of(*waiting).entries.empty());
        CPPUNIT_ASSERT(body_of(*waiting).store_revision == revision(6));
        const auto later = watch(6);
        relay.pass_revision_on();
        CPPUNIT_ASSERT(!later->response);
        relay.apply_changes({{entry("a", 7), entry("b", 8)}, revision(8)},
                            {"a"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), body_of(*later).entries.size());
        const auto all = body_of(
            *send(protocol::list_path, pack_value(protocol::read_request{""})));
        CPPUNIT_ASSERT_EQUAL(std::string("v7"), all.entries.front().value);
    }

    void damaged_requests_are_refused()
    {
        relay.apply_listing({{}, revision(5)});
        CPPUNIT_ASSERT_EQUAL(
            400U, send(protocol::watch_path, "x")->response->result_int());
        CPPUNIT_ASSERT_EQUAL(404U, send("/other", "")->response->result_int());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_change_relay);

} // namespace
