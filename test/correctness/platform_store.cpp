// Tests the client of the platform's store: paging, watches, lost history, and
// whether a write counts as applied after an error or without a response.

#include <cppunit/extensions/HelperMacros.h>
#include <platform/platform_store.hpp>
#include <support/raw_server.hpp>

#include <mutex>
#include <vector>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

class platform_store_calls : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_store_calls);
    CPPUNIT_TEST(a_listing_reads_all_pages_at_the_first_revision);
    CPPUNIT_TEST(a_watch_distinguishes_writes_from_removals);
    CPPUNIT_TEST(lost_history_is_distinguished_from_an_outage);
    CPPUNIT_TEST(a_write_without_a_response_may_have_been_applied);
    CPPUNIT_TEST(a_rejected_write_is_not_applied);
    CPPUNIT_TEST(a_conflict_and_an_ended_lease_write_nothing);
    CPPUNIT_TEST(an_unknown_status_of_a_write_leaves_its_outcome_unknown);
    CPPUNIT_TEST(an_unreadable_value_hides_no_other_entry);
    CPPUNIT_TEST(a_lease_is_ended_by_its_id);
    CPPUNIT_TEST(revisions_rise_when_the_store_goes_back);
    CPPUNIT_TEST(a_watch_from_an_earlier_era_has_lost_its_history);
    CPPUNIT_TEST(a_revision_of_an_earlier_era_matches_nothing);
    CPPUNIT_TEST(a_lease_of_an_earlier_era_has_ended);
    CPPUNIT_TEST(a_response_of_an_earlier_era_is_rejected);
    CPPUNIT_TEST(a_large_lease_id_is_sent_as_it_is);
    CPPUNIT_TEST_SUITE_END();

    std::mutex guard;
    std::vector<std::string> requests;

    std::unique_ptr<raw_server>
    start(const std::function<scripted_response(std::size_t n)>& respond)
    {
        return std::make_unique<raw_server>(
            [this, respond](const std::string& request)
            {
                const std::lock_guard lock(guard);
                requests.push_back(request);
                return respond(requests.size());
            });
    }

    static std::string in_era(int era, const std::string& body)
    {
        auto text = http_text("200 OK", body);
        const std::string first_line = "HTTP/1.1 200 OK\r\n";
        return text.insert(first_line.size(),
                           "store-era:  " + std::to_string(era) + " \r\n");
    }

    // Answers each request with the body in the era that is due.
    std::unique_ptr<raw_server> start_in_eras(std::vector<int> eras,
                                              const std::string& body)
    {
        return start(
            [eras = std::move(eras), body](std::size_t n)
            {
                return scripted_response{
                    in_era(eras[std::min(n, eras.size()) - 1], body), false};
            });
    }

    static platform::platform_store open(const raw_server& server)
    {
        store::http_settings settings;
        settings.address = "127.0.0.1";
        settings.port = server.port();
        return platform::platform_store(settings);
    }

public:
    void a_listing_reads_all_pages_at_the_first_revision()
    {
        const auto server = start(
            [](std::size_t n)
            {
                return scripted_response{
                    http_text(
                        "200 OK",
                        n == 1
                            ? R"({"items":[{"key":"a","value":"b25l","revision":3,"created":3,"lease":0}],"hasMore":true,"storeRevision":7})"
                            : R"({"items":[{"key":"b","value":"","revision":8,"created":8,"lease":0}],"hasMore":false,"storeRevision":9})"),
                    false};
            });
        auto store = open(*server);
        const auto all = store.list("x/");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), all.entries.size());
        CPPUNIT_ASSERT_EQUAL(std::string("one"), all.entries.front().value);
        CPPUNIT_ASSERT(all.store_revision == revision(7));
        CPPUNIT_ASSERT(requests.back().find("after=a") != std::string::npos);
    }

    void a_watch_distinguishes_writes_from_removals()
    {
        const auto server = start(
            [](std::size_t)
            {
                return scripted_response{
                    http_text(
                        "200 OK",
                        R"({"events":[{"key":"a","value":"b25l","revision":4,"created":4,"lease":1},{"key":"b","revision":5,"removed":true}],"storeRevision":5})"),
                    false};
            });
        auto store = open(*server);
        const auto changes = store.watch("", revision(3), milliseconds(10));
        CPPUNIT_ASSERT(changes.entries.front().key_revision == revision(4));
        CPPUNIT_ASSERT(changes.entries.back().key_revision == revision(0));
        CPPUNIT_ASSERT(changes.store_revision == revision(5));
    }

    void lost_history_is_distinguished_from_an_outage()
    {
        const auto server = start(
            [](std::size_t n)
            {
                return scripted_response{
                    http_text(n == 1 ? "410 Gone" : "503 Busy", "{}"), false};
            });
        auto store = open(*server);
        CPPUNIT_ASSERT_THROW(store.watch("", revision(3), milliseconds(10)),
                             store::history_lost);
        CPPUNIT_ASSERT_THROW(store.watch("", revision(3), milliseconds(10)),
                             store_unavailable);
    }

    void a_write_without_a_response_may_have_been_applied()
    {
        const auto server = start(
            [](std::size_t) {
                return scripted_response{"", true};
            });
        auto store = open(*server);
        CPPUNIT_ASSERT_THROW(
            store.commit({{}, {{"a", "1", store::lease_id(0)}}, {}}),
            store_outcome_unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), requests.size());
    }

    void a_rejected_write_is_not_applied()
    {
        const auto server = start(
            [](std::size_t n)
            {
                return scripted_response{
                    http_text(n == 1 ? "503 Busy" : "429 Many", "{}"), false};
            });
        auto store = open(*server);
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT_THROW(store.compare_and_swap("a", revision(1), "v"),
                                 store_unavailable);
    }

    void a_conflict_and_an_ended_lease_write_nothing()
    {
        const auto server = start(
            [](std::size_t n)
            {
                return scripted_response{
                    http_text(n == 1 ? "412 Conflict" : "404 Gone",
                              R"({"items":[]})"),
                    false};
            });
        auto store = open(*server);
        const store::transaction changes{
            {}, {{"a", "1", store::lease_id(5)}}, {}};
        CPPUNIT_ASSERT(store.commit(changes) ==
                       store::commit_outcome::conflict);
        CPPUNIT_ASSERT(store.commit(changes) ==
                       store::commit_outcome::lease_ended);
        CPPUNIT_ASSERT(!store.renew_lease(store::lease_id(5)));
    }

    // A status that the protocol does not name must not count as applied.
    void an_unknown_status_of_a_write_leaves_its_outcome_unknown()
    {
        const auto server = start(
            [](std::size_t) {
                return scripted_response{http_text("202 Accepted", "{}"),
                                         false};
            });
        auto store = open(*server);
        CPPUNIT_ASSERT_THROW(
            store.commit({{}, {{"a", "1", store::lease_id(0)}}, {}}),
            store_outcome_unknown);
    }

    // A leaving process ends its lease: removing its key by name could remove
    // the registration of its successor, if the call takes effect late.
    void a_lease_is_ended_by_its_id()
    {
        const auto server = start(
            [](std::size_t n)
            {
                return scripted_response{
                    http_text(n == 2 ? "404 Gone" : "200 OK", "{}"), false};
            });
        auto store = open(*server);
        store.end_lease(store::lease_id(5));
        store.end_lease(store::lease_id(5));
        CPPUNIT_ASSERT(requests.front().starts_with("DELETE /kv-lease-end/5 "));
        CPPUNIT_ASSERT(store.renew_lease(store::lease_id(6)));
        CPPUNIT_ASSERT(requests.back().starts_with("POST /kv-keep/6 "));
    }

    void an_unreadable_value_hides_no_other_entry()
    {
        const auto server = start(
            [](std::size_t)
            {
                return scripted_response{
                    http_text(
                        "200 OK",
                        R"({"items":[{"key":"a","value":"!","revision":3,"created":3,"lease":0},{"key":"b","value":"b25l","revision":4,"created":4,"lease":0}],"hasMore":false,"storeRevision":7})"),
                    false};
            });
        auto store = open(*server);
        const auto all = store.list("x/");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), all.entries.size());
        CPPUNIT_ASSERT_EQUAL(std::string(), all.entries.front().value);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), all.entries.back().value);
    }

    // Guards against a store that comes back from an older copy and is taken
    // for late: its revisions are lower than those of before.
    void revisions_rise_when_the_store_goes_back()
    {
        const auto server = start(
            [](std::size_t n)
            {
                return scripted_response{
                    in_era(n == 1 ? 3 : 4,
                           n == 1 ? R"({"items":[],"storeRevision":70})"
                                  : R"({"items":[],"storeRevision":50})"),
                    false};
            });
        auto store = open(*server);
        const auto before = store.list("").store_revision;
        CPPUNIT_ASSERT(store.list("").store_revision > before);
    }

    // Guards against a watch that misses changes because its revision was given
    // out again.
    void a_watch_from_an_earlier_era_has_lost_its_history()
    {
        const auto server = start_in_eras(
            {3, 4}, R"({"items":[],"events":[],"storeRevision":70})");
        auto store = open(*server);
        const auto known = store.list("").store_revision;
        CPPUNIT_ASSERT_THROW(store.watch("", known, milliseconds(10)),
                             store::history_lost);
        CPPUNIT_ASSERT(requests.back().find("after=70&") != std::string::npos);
    }

    // Guards against a condition that another write of the same number meets.
    void a_revision_of_an_earlier_era_matches_nothing()
    {
        const auto server = start_in_eras(
            {3, 4}, R"({"items":[],"storeRevision":70,"revision":71})");
        auto store = open(*server);
        const auto known = store.list("").store_revision;
        store.list("");
        const auto sent = requests.size();
        CPPUNIT_ASSERT(store.commit({{{"a", known}},
                                     {{"a", "1", store::lease_id(0)}},
                                     {}}) == store::commit_outcome::conflict);
        CPPUNIT_ASSERT(!store.compare_and_swap("a", known, "1").applied);
        CPPUNIT_ASSERT_EQUAL(sent, requests.size());
    }

    // Guards against the renewal of another client's lease with the same
    // number, while the own registration stays lost.
    void a_lease_of_an_earlier_era_has_ended()
    {
        const auto server =
            start_in_eras({3, 3, 4}, R"({"lease":9,"ttl_time":"4000ms"})");
        auto store = open(*server);
        const auto lease = store.grant_lease(milliseconds(4'000));
        CPPUNIT_ASSERT(store.renew_lease(lease));
        CPPUNIT_ASSERT(!store.renew_lease(lease));
        CPPUNIT_ASSERT(store.commit({{}, {{"a", "1", lease}}, {}}) ==
                       store::commit_outcome::lease_ended);
    }

    // Guards against registrations that fail because a part of the id is taken
    // for the era.
    void a_large_lease_id_is_sent_as_it_is()
    {
        const std::string id = "9223372036854775807";
        const auto server = start(
            [&](std::size_t)
            {
                return scripted_response{
                    http_text("200 OK", R"({"lease":)" + id + "}"), false};
            });
        auto store = open(*server);
        const auto lease = store.grant_lease(milliseconds(4'000));
        store.commit({{}, {{"a", "1", lease}}, {}});
        CPPUNIT_ASSERT(requests.back().find(id) != std::string::npos);
        CPPUNIT_ASSERT(store.renew_lease(lease));
        CPPUNIT_ASSERT(requests.back().find(id) != std::string::npos);
    }

    void a_response_of_an_earlier_era_is_rejected()
    {
        const auto server =
            start_in_eras({4, 3}, R"({"items":[],"storeRevision":70})");
        auto store = open(*server);
        store.list("");
        CPPUNIT_ASSERT_THROW(store.list(""), store_unavailable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_store_calls);

} // namespace
