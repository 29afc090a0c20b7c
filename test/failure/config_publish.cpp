// Guards publication against lost store responses, racing publishers, stale
// reads, parts that are missing and a store that goes down: one change per
// epoch, and each publisher learns the truth about its own change.

#include "support/sample_bundle.hpp"
#include <parsleyplank/config/publish.hpp>
#include <parsleyplank/core/error.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>

using namespace parsleyplank;
using namespace parsleyplank::config;

namespace
{

// A store in memory whose faults the test chooses.
class scripted_store final : public store::kv_store
{
public:
    std::map<std::string, store::entry> entries;
    std::uint64_t last = 0;
    // Called once before the next write of the manifest.
    std::function<void()> before_commit;
    // Writes of the manifest that take effect and get no response, and writes
    // that get none and have no effect.
    int lost_responses = 0;
    int lost_requests = 0;
    // Response to this many reads of the manifest to come.
    std::optional<store::entry> stale;
    int stale_reads = 0;
    int failing_reads = 0;
    bool down = false;

    store::read_result get(const std::string& key) override
    {
        if (down || (key == manifest_key && failing_reads-- > 0))
            throw store_unavailable("store is down");
        if (key == manifest_key && stale_reads-- > 0)
            return {stale, revision(stale ? stale->key_revision.value : 0)};
        const auto it = entries.find(key);
        if (it == entries.end())
            return {std::nullopt, revision(last)};
        return {it->second, revision(last)};
    }

    store::list_result list(const std::string& prefix) override
    {
        store::list_result found{{}, revision(last)};
        for (const auto& [key, entry] : entries)
            if (key.starts_with(prefix))
                found.entries.push_back(entry);
        return found;
    }

    store::write_result compare_and_swap(const std::string& key,
                                         revision expected,
                                         const std::string& value) override
    {
        const bool committing = key == manifest_key;
        if (committing && before_commit)
            std::exchange(before_commit, nullptr)();
        if (down)
            throw store_unavailable("store is down");
        if (committing && lost_requests-- > 0)
            throw store_outcome_unknown("no response");
        const auto current = revision_of(key);
        const bool applied = current == expected;
        if (applied)
            entries[key] = {key, value, revision(++last)};
        if (committing && lost_responses-- > 0)
            throw store_outcome_unknown("no response");
        return {applied, revision_of(key), revision(last)};
    }

    store::write_result compare_and_delete(const std::string& key,
                                           revision expected) override
    {
        const bool applied = revision_of(key) == expected;
        if (applied)
            entries.erase(key);
        return {applied, revision_of(key), revision(++last)};
    }

    store::list_result watch(const std::string& /*prefix*/, revision /*after*/,
                             milliseconds /*wait*/) override
    {
        return {};
    }

private:
    revision revision_of(const std::string& key) const
    {
        const auto it = entries.find(key);
        return it == entries.end() ? revision() : it->second.key_revision;
    }
};

class config_publish : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_publish);
    CPPUNIT_TEST(published_bundle_is_loaded_with_its_epoch);
    CPPUNIT_TEST(lost_response_after_the_write_is_a_success);
    CPPUNIT_TEST(lost_response_is_recognised_after_a_later_change);
    CPPUNIT_TEST(lost_request_is_repeated);
    CPPUNIT_TEST(unreadable_outcome_is_reported_as_unknown);
    CPPUNIT_TEST(change_that_is_no_longer_listed_is_unknown);
    CPPUNIT_TEST(loser_of_a_race_learns_the_winner);
    CPPUNIT_TEST(stale_base_does_not_undo_the_newer_configuration);
    CPPUNIT_TEST(modification_is_repeated_on_the_winner);
    CPPUNIT_TEST(modification_keeps_client_blocks);
    CPPUNIT_TEST(store_down_publishes_nothing);
    CPPUNIT_TEST(invalid_bundle_is_not_published);
    CPPUNIT_TEST(number_of_claim_buckets_does_not_change);
    CPPUNIT_TEST(missing_part_is_an_error_that_publishing_repairs);
    CPPUNIT_TEST(unused_parts_are_removed_but_not_those_of_a_publisher);
    CPPUNIT_TEST_SUITE_END();

    scripted_store store;
    bundle content = test::sample_bundle();

    void publish_as(const std::string& name, const std::string& change_id)
    {
        publish(store, load_published(store), content, {name, change_id});
    }

    // Publishes a change of the second customer's rate.
    void publish_rate(double rate, const std::string& name)
    {
        content.customers[1].rate = token_rate(rate);
        publish_as(name, name + std::to_string(rate));
    }

    double rate_in_force()
    {
        return load_bundle(store).customers[1].rate.value;
    }

    static void withdraw_b(bundle& v)
    {
        std::erase_if(v.keys, [](const api_key& key)
                      { return key.customer.value == "b"; });
    }

public:
    void setUp() override
    {
        publish_as("anna", "first");
    }

    void published_bundle_is_loaded_with_its_epoch()
    {
        CPPUNIT_ASSERT(load_bundle(store).epoch == epoch(1));
        publish_rate(6, "anna");
        CPPUNIT_ASSERT(load_bundle(store).epoch == epoch(2));
        CPPUNIT_ASSERT_EQUAL(6.0, rate_in_force());
    }

    void lost_response_after_the_write_is_a_success()
    {
        store.lost_responses = 1;
        publish_rate(6, "anna");
        CPPUNIT_ASSERT(load_bundle(store).epoch == epoch(2));
    }

    void lost_response_is_recognised_after_a_later_change()
    {
        const auto base = load_published(store);
        store.lost_responses = 1;
        store.failing_reads = 1;
        // The retry of the write meets another publisher's later change.
        publish_limits limits;
        limits.pause = [&](int n)
        {
            if (n == 1)
                publish_rate(7, "bjorn");
        };
        CPPUNIT_ASSERT(publish(store, base, content, {"anna", "mine"},
                               limits) == epoch(2));
        CPPUNIT_ASSERT(load_bundle(store).epoch == epoch(3));
        CPPUNIT_ASSERT_EQUAL(7.0, rate_in_force());
    }

    void lost_request_is_repeated()
    {
        store.lost_requests = 2;
        publish_rate(6, "anna");
        CPPUNIT_ASSERT(load_bundle(store).epoch == epoch(2));
    }

    void unreadable_outcome_is_reported_as_unknown()
    {
        const auto base = load_published(store);
        store.lost_responses = 1;
        publish_limits limits;
        limits.pause = [&](int)
        {
            store.down = true;
        };
        store.failing_reads = 1;
        CPPUNIT_ASSERT_THROW(
            publish(store, base, content, {"anna", "mine"}, limits),
            store_outcome_unknown);
    }

    void change_that_is_no_longer_listed_is_unknown()
    {
        const auto base = load_published(store);
        store.lost_responses = 1;
        store.failing_reads = 1;
        publish_limits limits;
        limits.pause = [&](int n)
        {
            for (std::size_t i = 0; n == 1 && i < listed_changes; ++i)
                publish_rate(static_cast<double>(10 + i), "bjorn");
        };
        CPPUNIT_ASSERT_THROW(
            publish(store, base, content, {"anna", "mine"}, limits),
            store_outcome_unknown);
    }

    void loser_of_a_race_learns_the_winner()
    {
        const auto base = load_published(store);
        publish_rate(6, "bjorn");
        content.customers[1].rate = token_rate(7);
        try
        {
            publish(store, base, content, {"anna", "mine"});
            CPPUNIT_FAIL("a conflict was expected");
        }
        catch (const publish_conflict& ec)
        {
            const std::string text = ec.what();
            CPPUNIT_ASSERT(text.find("bjorn") != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(6.0, rate_in_force());
    }

    void stale_base_does_not_undo_the_newer_configuration()
    {
        store.stale = store.entries.at(manifest_key);
        publish_rate(6, "bjorn");
        // The base and the first two reads back are stale.
        store.stale_reads = 3;
        content.customers[1].rate = token_rate(7);
        CPPUNIT_ASSERT_THROW(publish_as("anna", "mine"), publish_conflict);
        CPPUNIT_ASSERT_EQUAL(6.0, rate_in_force());
    }

    void modification_is_repeated_on_the_winner()
    {
        store.before_commit = [&]
        {
            publish_rate(6, "bjorn");
        };
        CPPUNIT_ASSERT(modify_published(store, withdraw_b, {"anna", "mine"}) ==
                       epoch(3));
        CPPUNIT_ASSERT_EQUAL(6.0, rate_in_force());
        CPPUNIT_ASSERT(load_bundle(store).keys.size() == 1);
    }

    void modification_keeps_client_blocks()
    {
        modify_published(store, withdraw_b, {"anna", "mine"});
        CPPUNIT_ASSERT(load_bundle(store).client_blocks.size() == 1);
        const auto move = [](bundle& v)
        {
            v.regions.pop_back();
        };
        CPPUNIT_ASSERT_THROW(modify_published(store, move, {"anna", "m2"}),
                             config_error);
    }

    void store_down_publishes_nothing()
    {
        const auto base = load_published(store);
        content.customers[1].rate = token_rate(6);
        store.before_commit = [&]
        {
            store.down = true;
        };
        CPPUNIT_ASSERT_THROW(publish(store, base, content, {"anna", "mine"}),
                             store_unavailable);
        store.down = false;
        CPPUNIT_ASSERT(load_bundle(store).epoch == epoch(1));
    }

    void invalid_bundle_is_not_published()
    {
        content.routes[0].upstream = upstream_id("nowhere");
        CPPUNIT_ASSERT_THROW(publish_as("anna", "mine"), config_error);
        content = test::sample_bundle();
        content.settings.name = "another fleet";
        CPPUNIT_ASSERT_THROW(publish_as("anna", "mine"), config_error);
        CPPUNIT_ASSERT(load_bundle(store).epoch == epoch(1));
    }

    void number_of_claim_buckets_does_not_change()
    {
        content.settings.claim_buckets += 1;
        CPPUNIT_ASSERT_THROW(publish_as("anna", "mine"), config_error);
        CPPUNIT_ASSERT(load_bundle(store).epoch == epoch(1));
    }

    void missing_part_is_an_error_that_publishing_repairs()
    {
        std::erase_if(store.entries, [](const auto& v)
                      { return v.first.starts_with(part_key_prefix); });
        CPPUNIT_ASSERT_THROW(load_bundle(store), error);
        publish(store, load_manifest(store), content, {"anna", "mine"});
        CPPUNIT_ASSERT(load_bundle(store).epoch == epoch(2));
    }

    void unused_parts_are_removed_but_not_those_of_a_publisher()
    {
        publish_rate(6, "anna");
        publish_rate(7, "anna");
        // Returns to the parts of epoch 2, which are unused by now, while
        // another program removes unused parts.
        store.before_commit = [&]
        {
            remove_unused_parts(store);
        };
        publish_rate(6, "bjorn");
        CPPUNIT_ASSERT_EQUAL(6.0, rate_in_force());
        CPPUNIT_ASSERT(remove_unused_parts(store) > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, remove_unused_parts(store));
        CPPUNIT_ASSERT_EQUAL(6.0, rate_in_force());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_publish);

} // namespace
