// Tests the view of the fleet: a killed instance must not stay in the list of
// live peers, and an unreachable store must not remove a live one. Also tests
// the choice of instances in the directory, the registry of servers, and the
// routing table.

#include <parsleyplank/core/error.hpp>
#include <parsleyplank/edge/relay_tree.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::edge;

namespace
{

class edge_fleet : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_fleet);
    CPPUNIT_TEST(an_unresponsive_peer_is_not_live);
    CPPUNIT_TEST(a_registered_peer_stays_live_between_rare_digests);
    CPPUNIT_TEST(a_responsive_peer_stays_live_without_registration);
    CPPUNIT_TEST(a_leaving_peer_is_not_live_until_it_starts_again);
    CPPUNIT_TEST(a_partitioned_instance_uses_the_registered_list);
    CPPUNIT_TEST(a_large_fleet_watches_through_a_peer_of_the_region);
    CPPUNIT_TEST(an_instance_without_store_watches_a_peer);
    CPPUNIT_TEST(the_newest_report_of_a_limit_holds);
    CPPUNIT_TEST(a_silent_peer_claims_no_part_of_a_limit);
    CPPUNIT_TEST(a_digest_without_limits_is_understood);
    CPPUNIT_TEST(callers_are_sent_to_the_nearest_instances);
    CPPUNIT_TEST(server_removals_in_an_outage_are_delayed);
    CPPUNIT_TEST(an_old_report_does_not_replace_a_newer_one);
    CPPUNIT_TEST(a_report_of_the_same_warm_up_changes_nothing);
    CPPUNIT_TEST(the_longest_path_prefix_of_the_host_is_chosen);
    CPPUNIT_TEST(a_configuration_with_a_shared_key_is_rejected);
    CPPUNIT_TEST_SUITE_END();

    const time_point start{std::chrono::hours(1)};
    const fleet_options options{};
    fleet_view fleet{instance_id("self"), {}};
    std::uint64_t sequence_number = 0;

    static member_record record(const std::string& id, std::uint64_t started)
    {
        member_record it;
        it.id = instance_id(id);
        it.started_ms = started;
        return it;
    }

    void receive_digest(const std::string& id, time_point now,
                        bool leaving = false, std::uint64_t started = 1)
    {
        member_digest digest;
        digest.id = instance_id(id);
        digest.started_ms = started;
        digest.sequence_number = ++sequence_number;
        digest.leaving = leaving;
        CPPUNIT_ASSERT(apply_digest(fleet, digest, now));
    }

    void receive_limit(const std::string& id, const limit_report& report,
                       time_point now)
    {
        member_digest digest;
        digest.id = instance_id(id);
        digest.started_ms = 1;
        digest.sequence_number = ++sequence_number;
        digest.limits = {report};
        CPPUNIT_ASSERT(apply_digest(fleet, digest, now));
    }

    std::size_t live(time_point now)
    {
        return live_peers(fleet, options, now).size();
    }

public:
    void an_unresponsive_peer_is_not_live()
    {
        put_member(fleet, record("a", 1), start);
        put_member(fleet, record("b", 1), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), live(start));
        receive_digest("a", start);
        receive_digest("b", start);
        const auto later = start + options.contact_timeout;
        receive_digest("b", later);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), live(later));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), live(later + milliseconds(1)));
    }

    // Failure scenario: in a large fleet the digests of a peer came less often
    // than its contact timeout, so that half of the live peers seemed dead at
    // any time. The holders of customers' tokens changed with each digest.
    void a_registered_peer_stays_live_between_rare_digests()
    {
        fleet_options large;
        large.digest_interval = large.contact_timeout * 2;
        put_member(fleet, record("a", 1), start);
        put_member(fleet, record("b", 1), start);
        receive_digest("a", start);
        receive_digest("b", start);
        const auto count = [&](time_point now)
        {
            return live_peers(fleet, large, now).size();
        };
        const auto later = start + large.digest_interval * 2;
        receive_digest("b", later);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), count(later));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             count(later + large.digest_interval * 2));
        // The end of its registration shows that a peer has ended.
        remove_member(fleet, instance_id("a"));
        remove_member(fleet, instance_id("b"));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(0),
            count(later + large.contact_timeout + milliseconds(1)));
    }

    void a_responsive_peer_stays_live_without_registration()
    {
        put_member(fleet, record("a", 1), start);
        receive_digest("a", start);
        remove_member(fleet, instance_id("a"));
        remove_expired_peers(fleet, options, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), live(start));
        remove_expired_peers(fleet, options, start + milliseconds(5'000));
        CPPUNIT_ASSERT(fleet.peers.empty());
    }

    void a_leaving_peer_is_not_live_until_it_starts_again()
    {
        put_member(fleet, record("a", 1), start);
        receive_digest("a", start, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), live(start));
        put_member(fleet, record("a", 2), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), live(start));
    }

    void a_partitioned_instance_uses_the_registered_list()
    {
        put_member(fleet, record("a", 1), start);
        put_member(fleet, record("b", 1), start);
        receive_digest("a", start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             live(start + milliseconds(10'000)));
    }

    // Adds a peer of the region; reached says whether it can reach the store.
    void add_peer(const std::string& id, const std::string& region,
                  bool reached)
    {
        auto it = record(id, 1);
        it.region = region_id(region);
        put_member(fleet, it, start);
        member_digest digest;
        digest.id = it.id;
        digest.started_ms = 1;
        digest.sequence_number = ++sequence_number;
        digest.store_reachable = reached;
        apply_digest(fleet, digest, start);
    }

    const peer_state* relay_peer(bool reached, std::size_t min_relay_fleet_size)
    {
        const auto relays = choose_relays(
            fleet, live_peers(fleet, options, start),
            {region_id("oslo"), reached, 0, min_relay_fleet_size});
        return relays.empty() ? nullptr : relays.front();
    }

    peer_limit limit_at(time_point now)
    {
        steering_snapshot snapshot;
        add_limits(snapshot, fleet, options, now);
        CPPUNIT_ASSERT(snapshot.claim_delay > options.digest_interval);
        return snapshot.limits.at(7);
    }

    void the_newest_report_of_a_limit_holds()
    {
        put_member(fleet, record("a", 1), start);
        put_member(fleet, record("b", 1), start);
        receive_limit("a", {7, -1, 100, false}, start);
        receive_limit("b", {7, 2.5, 900, true}, start + milliseconds(500));
        const auto ended = limit_at(start + milliseconds(500));
        CPPUNIT_ASSERT(!ended.rate);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), ended.claimants.size());
        receive_limit("b", {7, 2.5, 0, true}, start + milliseconds(600));
        const auto named = limit_at(start + milliseconds(600));
        CPPUNIT_ASSERT(named.rate == token_rate(2.5));
        CPPUNIT_ASSERT(named.heard == start + milliseconds(600));
    }

    void a_silent_peer_claims_no_part_of_a_limit()
    {
        const auto max_age = options.contact_timeout;
        put_member(fleet, record("a", 1), start);
        put_member(fleet, record("b", 1), start);
        receive_limit("a", {7, 2, 0, true}, start);
        receive_limit("b", {7, 2, 0, true}, start + max_age);
        const auto claimants = [&](milliseconds age)
        {
            return limit_at(start + age).claimants.size();
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), claimants(max_age));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             claimants(max_age + milliseconds(1)));
        // Then this instance is the one that is cut off.
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             claimants(max_age * 2 + milliseconds(1)));
    }

    // Failure scenario: during a rolling replacement, digests of the former
    // version have no limits.
    void a_digest_without_limits_is_understood()
    {
        const std::tuple<instance_id, int, int, bool, bool, revision,
                         std::vector<customer_demand>,
                         std::vector<rollout_report>>
            former{instance_id("a"), 1, 2, false, true, revision(3), {}, {}};
        const auto digest =
            unpack_value<member_digest>(pack_value(former), "a peer");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), digest.sequence_number);
        CPPUNIT_ASSERT(digest.limits.empty());
    }

    void a_large_fleet_watches_through_a_peer_of_the_region()
    {
        for (int i = 0; i < 20; ++i)
            add_peer("p" + std::to_string(i), i < 10 ? "oslo" : "bergen",
                     i != 3);
        const auto* const chosen = relay_peer(true, 16);
        // The chosen peer is one of the region's instances that reach the
        // store. nullptr means that this instance watches the store itself.
        if (chosen != nullptr)
        {
            CPPUNIT_ASSERT(chosen->record.region == region_id("oslo"));
            CPPUNIT_ASSERT(chosen->digest.store_reachable);
        }
        CPPUNIT_ASSERT(relay_peer(true, 64) == nullptr);
    }

    // Failure scenario: the store rejects some instances while API keys are
    // withdrawn. Without a relay peer these instances accepted the old keys for
    // nine more seconds.
    void an_instance_without_store_watches_a_peer()
    {
        add_peer("a", "oslo", false);
        CPPUNIT_ASSERT(relay_peer(false, 16) == nullptr);
        add_peer("b", "bergen", true);
        CPPUNIT_ASSERT(relay_peer(false, 16)->record.id == instance_id("b"));
        add_peer("c", "oslo", true);
        CPPUNIT_ASSERT(relay_peer(false, 16)->record.id == instance_id("c"));
        CPPUNIT_ASSERT(relay_peer(true, 16) == nullptr);
    }

    void callers_are_sent_to_the_nearest_instances()
    {
        using namespace parsleyplank::steering;
        const std::vector<directory_instance> all{
            {instance_id("a"),
             {"10.0.0.1", 1},
             failure_domain_id("oslo-a"),
             region_id("oslo")},
            {instance_id("b"),
             {"10.0.0.2", 1},
             failure_domain_id("oslo-b"),
             region_id("oslo")},
            {instance_id("c"),
             {"10.0.0.3", 1},
             failure_domain_id("bergen-a"),
             region_id("bergen")}};
        const auto addresses =
            [&](const std::string& domain, const std::string& region)
        {
            return choose_instances(all, failure_domain_id(domain),
                                    region_id(region));
        };
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2"),
                             addresses("oslo-b", "oslo").front().address);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             addresses("oslo-c", "oslo").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), addresses("x", "y").size());
    }

    void server_removals_in_an_outage_are_delayed()
    {
        using namespace parsleyplank::steering;
        server_registry registry;
        backend_server it;
        it.id = backend_server_id("s");
        put_server(registry, it);
        const auto due = start + milliseconds(2'000);
        CPPUNIT_ASSERT(!remove_server(registry, it.id, due, start));
        put_server(registry, it);
        CPPUNIT_ASSERT(!apply_due_removals(registry, due));
        CPPUNIT_ASSERT(!remove_server(registry, it.id, due, start));
        CPPUNIT_ASSERT(apply_due_removals(registry, due));
        CPPUNIT_ASSERT(registry.servers.empty());
    }

    void an_old_report_does_not_replace_a_newer_one()
    {
        using namespace parsleyplank::steering;
        server_registry registry;
        backend_server it;
        it.id = backend_server_id("s");
        it.started_ms = 100;
        it.sequence = 4;
        it.draining = true;
        CPPUNIT_ASSERT(put_server(registry, it));
        it.sequence = 3;
        it.draining = false;
        CPPUNIT_ASSERT(!put_server(registry, it));
        // A new process restarts its sequence numbers.
        it.started_ms = 200;
        it.sequence = 1;
        CPPUNIT_ASSERT(put_server(registry, it));
    }

    // Each report of a cold server was logged, published and passed on as a
    // change, because the end of its warm-up differed by some milliseconds.
    void a_report_of_the_same_warm_up_changes_nothing()
    {
        using namespace parsleyplank::steering;
        server_registry registry;
        backend_server it;
        it.id = backend_server_id("s");
        it.started_ms = 100;
        const auto report = [&](int sequence, int at_ms, int left_ms)
        {
            const auto now = start + milliseconds(at_ms);
            it.sequence = sequence;
            it.cold_until =
                left_ms > 0 ? now + milliseconds(left_ms) : time_point{};
            return put_server(registry, it, now);
        };
        CPPUNIT_ASSERT(report(1, 0, 3'000));
        CPPUNIT_ASSERT(!report(2, 1'540, 1'500));
        CPPUNIT_ASSERT(registry.servers.at(it.id)->cold_until ==
                       start + milliseconds(3'000));
        CPPUNIT_ASSERT(!report(3, 3'050, 0));
        // An old report is still recognized.
        it.draining = true;
        CPPUNIT_ASSERT(!report(2, 3'100, 0));
        CPPUNIT_ASSERT(report(4, 3'100, 0));
        it.draining = false;
        // A warm-up that takes longer than was said is a change.
        CPPUNIT_ASSERT(report(5, 3'200, 2'000));
        CPPUNIT_ASSERT(report(6, 3'600, 2'000));
    }

    static std::shared_ptr<steering::traffic_config> two_routes()
    {
        auto config = std::make_shared<steering::traffic_config>();
        config->services.push_back({service_id("s"), "/h", 1, {}, 0});
        for (const auto* const prefix : {"/a/", "/a/b/"})
        {
            steering::traffic_route route;
            route.id = route_id(prefix);
            route.host = "h.example";
            route.path_prefix = prefix;
            route.services = {{service_id("s"), 1}};
            config->routes.push_back(route);
        }
        return config;
    }

    void the_longest_path_prefix_of_the_host_is_chosen()
    {
        const auto table = steering::make_routing_table(two_routes());
        const auto* const long_one =
            steering::find_route(table, "h.example:80", "/a/b/c?x=/a/");
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"), long_one->id.value);
        CPPUNIT_ASSERT_EQUAL(
            std::string("/a/"),
            steering::find_route(table, "h.example", "/a/bc")->id.value);
        CPPUNIT_ASSERT(!steering::find_route(table, "h.example", "/a"));
        CPPUNIT_ASSERT(!steering::find_route(table, "other", "/a/b/"));
    }

    void a_configuration_with_a_shared_key_is_rejected()
    {
        auto config = two_routes();
        config->customers.push_back({customer_id("one"), {"k"}, 0, {}, {}, {}});
        config->customers.push_back({customer_id("two"), {"k"}, 0, {}, {}, {}});
        CPPUNIT_ASSERT_THROW(steering::make_routing_table(config),
                             config_error);
        auto unknown = two_routes();
        unknown->routes.front().services = {{service_id("none"), 1}};
        CPPUNIT_ASSERT_THROW(steering::make_routing_table(unknown),
                             config_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_fleet);

} // namespace
