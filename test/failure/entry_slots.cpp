// Guards the exchange of in-flight slots between instances: a busy instance
// gets the slots that others do not use, and all instances together never use
// more than a region has, whatever happens to their messages.

#include "standin/store_core.hpp"
#include "support/fake_network.hpp"
#include "support/fake_store.hpp"
#include "support/manual_clock.hpp"
#include <parsleyplank/entry/slot_agent.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

using namespace parsleyplank;
using namespace std::chrono_literals;
using test::fake_network;
using test::manual_clock;
using test::network_faults;

namespace
{

// Without slots that the shares leave over, which would hide one used twice.
constexpr std::uint32_t capacity = 9;
const entry::slot_pool_id pool_id{upstream_id("katalog"), region_id("oslo")};

struct running_request
{
    quota::slot_ticket slot;
    time_point ends;
};

// An instance with its slots; without threads and sockets.
struct slot_node
{
    manual_clock& time;
    entry::settings config;
    telemetry::metrics counters;
    entry::snapshot_slot snapshot;
    entry::event_loop loop;
    entry::peer_contact contact;
    entry::slot_agent slots;
    std::vector<running_request> running;
    std::unique_ptr<peer::transport> peers;
    entry::store_pool pool;
    entry::node_context context;

    slot_node(standin::store_core& core, fake_network& network,
              manual_clock& time, int number)
        : time(time), loop(time),
          peers(network.join(id_of(number), incarnation(1),
                             [this](const peer::envelope& message)
                             { take_message(slots, context, message); })),
          pool(1, 1,
               [&core, &time]
               { return std::make_unique<test::fake_store>(core, time); }),
          context{config,   time,     loop,
                  pool,     pool,     *peers,
                  counters, snapshot, std::mt19937_64(1)}
    {
        config.id = id_of(number);
        config.life = incarnation(1);
        set_capacity(slots, pool_id, capacity);
        set_share(slots, share_ppm{333'334});
    }

    static instance_id id_of(int number)
    {
        return instance_id("entry-" + std::to_string(number));
    }

    void know(int number)
    {
        const auto id = id_of(number);
        auto& m = contact.members.members[id];
        m.info.id = id;
        m.info.life = incarnation(1);
        m.last_contact = time.now();
        peers->replace_peer(id, {});
    }

    // Keeps the state fresh and the peers usable, as heartbeats do.
    void refresh()
    {
        freshness::start_round(contact.fresh, time.now());
        freshness::finish_round(contact.fresh,
                                freshness::round_outcome::confirmed);
        for (auto& [id, m] : contact.members.members)
            m.last_contact = time.now();
    }

    // Ends requests whose time is over and starts new ones up to the count.
    void use(std::size_t count, milliseconds length)
    {
        const auto now = time.now();
        std::erase_if(running,
                      [&](const running_request& r)
                      {
                          if (r.ends > now)
                              return false;
                          give_slot_back(slots, pool_id, r.slot);
                          return true;
                      });
        while (running.size() < count)
        {
            const auto slot = take_slot(slots, pool_id, now + length, now);
            if (!slot)
            {
                note_wanted(slots, pool_id);
                return;
            }
            running.push_back({*slot, now + length});
        }
    }
};

class entry_slots : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_slots);
    CPPUNIT_TEST(busy_instance_borrows_idle_slots);
    CPPUNIT_TEST(slots_in_use_never_exceed_the_capacity);
    CPPUNIT_TEST(leaving_instance_lends_no_more);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time;
    standin::store_core core;
    std::unique_ptr<fake_network> network;
    std::vector<std::unique_ptr<slot_node>> nodes;

    void start(const network_faults& faults, std::uint64_t seed)
    {
        nodes.clear();
        network = std::make_unique<fake_network>(time, seed, faults);
        for (int i = 0; i < 3; ++i)
            nodes.push_back(
                std::make_unique<slot_node>(core, *network, time, i));
        for (int i = 0; i < 3; ++i)
            for (int k = 0; k < 3; ++k)
                if (i != k)
                    nodes[i]->know(k);
    }

    void step(slot_node& n)
    {
        n.refresh();
        tick(n.slots, n.context, n.contact);
    }

    // A request ends at its deadline at the latest, also while its instance is
    // paused.
    std::size_t in_use() const
    {
        std::ptrdiff_t n = 0;
        for (const auto& it : nodes)
            n +=
                std::ranges::count_if(it->running, [&](const running_request& r)
                                      { return r.ends > time.now(); });
        return static_cast<std::size_t>(n);
    }

public:
    void busy_instance_borrows_idle_slots()
    {
        start({}, 1);
        for (int i = 0; i < 20; ++i)
        {
            nodes[0]->use(8, 1s);
            for (const auto& n : nodes)
                step(*n);
            time.advance(200ms);
            network->deliver();
        }
        // Its own part is 3 of 9.
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), nodes[0]->running.size());
    }

    void slots_in_use_never_exceed_the_capacity()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed)
        {
            start({0.2, 0.4, 1ms, 3'000ms}, seed);
            std::mt19937_64 random(seed);
            std::vector<int> paused(3, 0);
            // Changes while loans last, so that lenders want their slots
            // back at once when these end.
            std::vector<bool> hot(3);
            std::size_t most = 0;
            for (int i = 0; i < 600; ++i)
            {
                for (int k = 0; k < 3; ++k)
                {
                    if (random() % 80 == 0)
                        hot[k] = !hot[k];
                    if (paused[k]-- > 0)
                        continue;
                    paused[k] = random() % 50 == 0 ? int(random() % 100) : 0;
                    step(*nodes[k]);
                    nodes[k]->use(hot[k] ? 9 : random() % 3,
                                  milliseconds(200 + random() % 3'000));
                }
                most = std::max(most, in_use());
                CPPUNIT_ASSERT(in_use() <= capacity);
                time.advance(100ms);
                network->deliver();
            }
            // More than the even part of one instance: loans were used.
            CPPUNIT_ASSERT(most > 3);
        }
    }

    void leaving_instance_lends_no_more()
    {
        start({}, 1);
        nodes[1]->slots.leaving = true;
        nodes[2]->slots.leaving = true;
        for (int i = 0; i < 20; ++i)
        {
            nodes[0]->use(8, 1s);
            for (const auto& n : nodes)
                step(*n);
            time.advance(200ms);
            network->deliver();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), nodes[0]->running.size());
        CPPUNIT_ASSERT(donatable(nodes[1]->slots) == share_ppm{333'334});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_slots);

} // namespace
