// Guards the guarantees that an order is executed at most once and that "not
// run" is true. Faults are injected at every step and at random: restarts,
// pauses and replaced writers, store outages, lost and late store writes, and
// lost, repeated and late peer messages.

#include "support/claims_cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

// Faults that are injected between two steps.
enum class injected_fault
{
    restart_owner,
    restart_writer,
    pause_owner,
    pause_writer,
    pause_owner_long,
    replace_writer,
    write_unavailable,
    write_lost,
    write_response_lost,
    write_late,
    messages_lost,
    count
};

constexpr std::array write_faults{
    std::pair(injected_fault::write_unavailable, store_fault::unavailable),
    std::pair(injected_fault::write_lost, store_fault::lost_request),
    std::pair(injected_fault::write_response_lost, store_fault::lost_response),
    std::pair(injected_fault::write_late, store_fault::late)};

constexpr std::size_t owner = 0;

// Injects the fault; fault receives the store fault, if it is one.
void inject_fault(claims_cluster& cluster, injected_fault type,
                  std::size_t writer, store_fault& fault)
{
    const auto other = 3 - writer; // neither the owner nor the writer
    for (const auto& [kind, value] : write_faults)
        if (kind == type)
            fault = value;
    if (type == injected_fault::restart_owner)
        cluster.restart(owner);
    else if (type == injected_fault::restart_writer)
        cluster.restart(writer);
    else if (type == injected_fault::pause_owner)
        cluster.pause(owner, milliseconds(700));
    else if (type == injected_fault::pause_owner_long)
        cluster.pause(owner, milliseconds(9'000));
    else if (type == injected_fault::pause_writer)
        cluster.pause(writer, milliseconds(3'000));
    else if (type == injected_fault::replace_writer)
        for (auto& it : cluster.nodes)
            if (it.id != cluster.ids[writer])
                it.live = {cluster.ids[other]};
    if (type == injected_fault::messages_lost)
        cluster.settings.loss = 1;
}

// Returns a key whose bucket is assigned to this instance.
std::string key_written_by(const claims_cluster& cluster, std::size_t writer)
{
    for (int n = 0;; ++n)
        if (auto key = "order-" + std::to_string(n);
            cluster.writer_index(key) == writer)
            return key;
}

// Sends one order, injects faults at one or two steps, and repeats the order
// through other instances during the faults and after them. Returns the number
// of steps.
std::size_t run_with_faults(injected_fault first, std::size_t first_step,
                            injected_fault second, std::size_t second_step,
                            std::size_t writer)
{
    cluster_settings settings;
    settings.buckets = 64;
    claims_cluster cluster(settings);
    const auto key = key_written_by(cluster, writer);
    auto fault = store_fault::none;
    cluster.fault_of_call = [&](const claims::store_call& call)
    {
        return call.type == claims::store_call::kind::write ? fault
                                                            : store_fault::none;
    };
    cluster.before_step = [&](std::size_t step)
    {
        if (step == first_step)
            inject_fault(cluster, first, writer, fault);
        if (step == second_step)
            inject_fault(cluster, second, writer, fault);
    };
    cluster.submit(owner, key, "body");
    cluster.run_for(milliseconds(300));
    cluster.submit(2, key, "body");
    cluster.run_for(milliseconds(2'300));
    cluster.submit(1, key, "body");
    cluster.run_for(milliseconds(400));
    cluster.before_step = nullptr;
    fault = store_fault::none;
    cluster.settings.loss = 0;
    cluster.run_for(milliseconds(9'000));
    cluster.submit(2, key, "body");
    const auto fresh =
        cluster.submit(1, "fresh-" + std::to_string(writer), "body");
    cluster.run_for(milliseconds(3'000));
    const auto steps = cluster.steps;
    const auto name = "faults " + std::to_string(static_cast<int>(first)) +
                      " at " + std::to_string(first_step) + ", " +
                      std::to_string(static_cast<int>(second)) + " at " +
                      std::to_string(second_step) + ": ";
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(), cluster.violation());
    CPPUNIT_ASSERT_MESSAGE(name + "a request with a new key was not executed",
                           cluster.requests[fresh].outcome ==
                               run_outcome::result);
    return steps;
}

class claims_schedules : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claims_schedules);
    CPPUNIT_TEST(one_fault_at_every_step);
    CPPUNIT_TEST(two_faults_at_pairs_of_early_steps);
    CPPUNIT_TEST(random_schedules);
    CPPUNIT_TEST_SUITE_END();

    // Number of steps until a run without faults has stored its result, and a
    // margin.
    static constexpr std::size_t last_step = 40;

public:
    void one_fault_at_every_step()
    {
        for (std::size_t writer = 1; writer <= 2; ++writer)
            for (int kind = 0; kind < static_cast<int>(injected_fault::count);
                 ++kind)
                for (std::size_t step = 1; step <= last_step; ++step)
                    run_with_faults(static_cast<injected_fault>(kind), step,
                                    injected_fault::count, 0, writer);
    }

    void two_faults_at_pairs_of_early_steps()
    {
        for (int a = 0; a < static_cast<int>(injected_fault::count); ++a)
            for (int b = 0; b < static_cast<int>(injected_fault::count); ++b)
                for (std::size_t step = 1; step <= 12; ++step)
                    for (std::size_t later = 1; later <= 8; later += 2)
                        run_with_faults(static_cast<injected_fault>(a), step,
                                        static_cast<injected_fault>(b),
                                        step + later, 1);
    }

    void random_schedules()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed)
            run_random(seed);
    }

private:
    // Returns the fault of a store call: unavailable while the store is down,
    // else a fault for a quarter of the calls, which is stale for reads and
    // random for others.
    static store_fault random_fault(claims_cluster& cluster,
                                    const claims::store_call& call, bool down)
    {
        if (down)
            return store_fault::unavailable;
        if (cluster.random() % 4 != 0)
            return store_fault::none;
        constexpr std::array faults{
            store_fault::unavailable, store_fault::lost_request,
            store_fault::lost_response, store_fault::late};
        const bool read = call.type == claims::store_call::kind::read;
        return read ? store_fault::stale : faults[cluster.random() % 4];
    }

    static backend_fault random_backend_fault(claims_cluster& cluster)
    {
        constexpr std::array faults{
            backend_fault::none,        backend_fault::none,
            backend_fault::none,        backend_fault::refused,
            backend_fault::lost_before, backend_fault::lost_after};
        return faults[cluster.random() % faults.size()];
    }

    // Restarts or pauses an instance, changes the instances that one considers
    // live, switches the store off or on, or does nothing.
    static void apply_random_event(claims_cluster& cluster, bool& down)
    {
        const auto node = cluster.random() % cluster.nodes.size();
        const auto other = cluster.random() % cluster.nodes.size();
        switch (cluster.random() % 12)
        {
        case 0:
            cluster.restart(node);
            break;
        case 1:
            cluster.pause(node, milliseconds(cluster.random() % 6'000));
            break;
        case 2:
            cluster.nodes[node].live = {cluster.ids[other]};
            break;
        case 3:
            cluster.nodes[node].live = cluster.ids;
            break;
        case 4:
            down = !down;
            break;
        default:
            break;
        }
    }

    // Uses small segments and a short retention, so that segments are sealed
    // and retired. Each key is used for less time than the retention.
    static cluster_settings random_settings(std::uint64_t seed)
    {
        cluster_settings settings;
        settings.instances = 4;
        settings.seed = seed;
        settings.loss = 0.1;
        settings.duplicate = 0.1;
        settings.slow = 0.1;
        settings.response_size = seed % 2 == 0 ? 3'000 : 0;
        settings.writer.segment_bytes = claims::min_segment_bytes;
        settings.writer.retention = std::chrono::seconds(15);
        return settings;
    }

    static void run_random(std::uint64_t seed)
    {
        claims_cluster cluster(random_settings(seed));
        bool down = false;
        cluster.fault_of_call = [&](const claims::store_call& call)
        {
            return random_fault(cluster, call, down);
        };
        cluster.fault_of_backend = [&](const std::string&)
        {
            return random_backend_fault(cluster);
        };
        for (int n = 0; n < 100; ++n)
        {
            const auto key = "order-" + std::to_string(n / 6) + "-" +
                             std::to_string(cluster.random() % 3);
            const auto body = cluster.random() % 8 == 0 ? "other body" : "body";
            cluster.submit(cluster.random() % 4, key, body);
            apply_random_event(cluster, down);
            cluster.run_for(milliseconds(cluster.random() % 400));
        }
        down = false;
        cluster.fault_of_call = nullptr;
        cluster.fault_of_backend = nullptr;
        cluster.settings.loss = 0;
        cluster.run_for(milliseconds(12'000));
        const auto fresh = cluster.submit(0, "fresh", "body");
        cluster.run_for(milliseconds(3'000));
        const auto name = "seed " + std::to_string(seed);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(), cluster.violation());
        CPPUNIT_ASSERT_MESSAGE(
            name + ": a request with a new key was not executed",
            cluster.requests[fresh].outcome == run_outcome::result);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims_schedules);

} // namespace
