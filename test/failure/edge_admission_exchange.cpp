// Levels of admission between instances: what lost digests, peers that fall
// silent, peers of an older version and a configuration without ranks do to
// them.

#include <parsleyplank/edge/traffic_state.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::edge;

namespace
{

// Fields of a digest of the version before levels of admission.
struct former_digest
{
    instance_id id;
    std::uint64_t started_ms = 1;
    std::uint64_t sequence_number = 1;
    bool leaving = false;
    bool store_reachable = true;
    revision store_revision;
    std::vector<customer_demand> demands;
    std::vector<rollout_report> rollouts;
    std::vector<limit_report> limits;

    MSGPACK_DEFINE_ARRAY(id, started_ms, sequence_number, leaving,
                         store_reachable, store_revision, demands, rollouts,
                         limits)
};

class edge_admission_exchange : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_admission_exchange);
    CPPUNIT_TEST(the_level_of_a_peer_is_taken_over);
    CPPUNIT_TEST(the_level_of_a_silent_peer_loses_its_force);
    CPPUNIT_TEST(levels_hold_in_their_region_only);
    CPPUNIT_TEST(instances_of_two_versions_read_each_other);
    CPPUNIT_TEST(a_report_does_not_grow_with_ranks_or_customers);
    CPPUNIT_TEST(nothing_is_sent_in_calm);
    CPPUNIT_TEST(without_ranks_nobody_is_refused);
    CPPUNIT_TEST(the_state_of_a_service_ends_with_its_ranks);
    CPPUNIT_TEST_SUITE_END();

    time_point now{std::chrono::hours(1)};
    const service_id shop{"shop"};
    steering::traffic_config config;
    fleet_view fleet;
    fleet_options options;
    traffic_state state;

    void add_route(const std::string& id, steering::priority_rank priority)
    {
        steering::traffic_route it;
        it.id = route_id(id);
        it.services = {{shop, 1}};
        it.priority = priority;
        config.routes.push_back(it);
    }

    void adopt(bool with_peers = true)
    {
        auto next = std::make_shared<steering_snapshot>();
        auto table = std::make_shared<steering::routing_table>();
        table->config =
            std::make_shared<const steering::traffic_config>(config);
        next->routing = table;
        if (with_peers)
            add_admission(*next, fleet, state.config.region, options, now);
        adopt_snapshot(state, next, now);
    }

    bool admitted(std::size_t route, int object)
    {
        return !refuse_by_rank(state,
                               {config.routes[route], nullptr, shop,
                                std::to_string(object), milliseconds(3'000)},
                               0, now);
    }

    traffic_report report()
    {
        traffic_report found;
        report_admission(state, found, now);
        return found;
    }

    // Sends requests of all routes for some steps.
    void play(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            for (int n = 0; n < 100; ++n)
                admitted(static_cast<std::size_t>(n) % config.routes.size(), n);
            now += milliseconds(500);
            adopt();
            report();
        }
    }

    double served_part(std::size_t route)
    {
        int served = 0;
        for (int n = 0; n < 200; ++n)
            served += admitted(route, n) ? 1 : 0;
        return served / 200.0;
    }

    void hear_from(const std::string& peer, const std::string& region,
                   std::uint64_t sequence)
    {
        member_record record;
        record.id = instance_id(peer);
        record.started_ms = 1;
        record.region = region_id(region);
        put_member(fleet, record, now);
        member_digest digest;
        digest.id = record.id;
        digest.started_ms = 1;
        digest.sequence_number = sequence;
        // Nothing of the less urgent rank; many requests, half of them unmet.
        digest.admission = make_admission_reports(
            {{shop, {{{0, 0}, 1.0}, {5'000, 5'000, 2'500, 3}}}});
        apply_digest(fleet, digest, now);
    }

public:
    void setUp() override
    {
        state.config.region = region_id("oslo");
        config.services.resize(1);
        config.services.front().id = shop;
        add_route("order", 0);
        add_route("read", 1);
        adopt();
    }

    void the_level_of_a_peer_is_taken_over()
    {
        hear_from("a", "oslo", 1);
        play(3);
        CPPUNIT_ASSERT(served_part(0) > 0.9);
        CPPUNIT_ASSERT(served_part(1) < 0.6);
    }

    // Failure scenario: peers that are gone must not refuse this region's
    // callers.
    void the_level_of_a_silent_peer_loses_its_force()
    {
        hear_from("a", "oslo", 1);
        play(3);
        now += options.contact_timeout + milliseconds(1);
        play(6);
        CPPUNIT_ASSERT_EQUAL(1.0, served_part(1));
    }

    void levels_hold_in_their_region_only()
    {
        hear_from("a", "bergen", 1);
        play(3);
        CPPUNIT_ASSERT_EQUAL(1.0, served_part(1));
    }

    void instances_of_two_versions_read_each_other()
    {
        former_digest former;
        former.id = instance_id("a");
        const auto read =
            unpack_value<member_digest>(pack_value(former), "a peer");
        CPPUNIT_ASSERT(read.admission.empty());
        hear_from("b", "oslo", 1);
        const auto sent = fleet.peers.at(instance_id("b")).digest;
        const auto older =
            unpack_value<former_digest>(pack_value(sent), "a peer");
        CPPUNIT_ASSERT_EQUAL(std::string("b"), older.id.value);
    }

    void a_report_does_not_grow_with_ranks_or_customers()
    {
        for (int n = 0; n < 200; ++n)
        {
            steering::traffic_customer it;
            it.id = customer_id(std::to_string(n));
            it.priority = static_cast<steering::priority_rank>(n);
            config.customers.push_back(it);
        }
        adopt();
        hear_from("a", "oslo", 1);
        play(3);
        const auto reports = make_admission_reports(report().admission);
        constexpr std::size_t max_report_bytes = 21;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reports.size());
        CPPUNIT_ASSERT(pack_value(reports.front()).size() <= max_report_bytes);
    }

    void nothing_is_sent_in_calm()
    {
        play(3);
        CPPUNIT_ASSERT(report().admission.empty());
    }

    void without_ranks_nobody_is_refused()
    {
        config.routes.back().priority = 0;
        adopt();
        hear_from("a", "oslo", 1);
        play(3);
        CPPUNIT_ASSERT_EQUAL(1.0, served_part(1));
        CPPUNIT_ASSERT(report().admission.empty());
        CPPUNIT_ASSERT(!choose_return(
            state, {config.routes[1], nullptr, shop, "1", milliseconds(3'000)},
            milliseconds(0), now));
    }

    void the_state_of_a_service_ends_with_its_ranks()
    {
        hear_from("a", "oslo", 1);
        play(3);
        config.routes.pop_back();
        adopt();
        CPPUNIT_ASSERT(state.admission.services.empty());
        CPPUNIT_ASSERT(state.admission.returns.empty());
        CPPUNIT_ASSERT(state.admission.limits.size() <= 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_admission_exchange);

} // namespace
