#ifndef PARSLEYPLANK_TEST_SUPPORT_ENTRY_INSTANCE_HPP
#define PARSLEYPLANK_TEST_SUPPORT_ENTRY_INSTANCE_HPP

// The state of an entry instance with its control thread and store threads, a
// fake store and a fake network; without sockets and timers.

#include "standin/store_core.hpp"
#include "support/fake_network.hpp"
#include "support/fake_store.hpp"
#include <parsleyplank/config/publish.hpp>
#include <parsleyplank/entry/confirmation.hpp>

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <thread>

namespace parsleyplank::test
{

// A manual clock that several threads may read.
class shared_clock final : public clock
{
public:
    time_point now() const override
    {
        return time_point(std::chrono::hours(1)) + offset.load();
    }

    wall_time wall_now() const override
    {
        return wall_time(std::chrono::hours(24 * 365 * 50)) + offset.load();
    }

    void advance(milliseconds by)
    {
        offset = offset.load() + by;
    }

private:
    std::atomic<milliseconds> offset{milliseconds(0)};
};

inline entry::settings entry_settings(const std::string& id, std::uint64_t life)
{
    entry::settings s;
    s.id = instance_id(id);
    s.life = incarnation(life);
    s.region = region_id("north");
    return s;
}

// One at a time may be busy, because the network is not for several threads.
struct entry_instance
{
    // A member that a reference below needs stands before it.
    shared_clock& time;
    fake_network& network;
    entry::settings config;
    telemetry::metrics counters;
    entry::snapshot_slot snapshot;
    entry::event_loop loop;
    entry::peer_contact contact;
    entry::state_feed feed;
    entry::confirmation_rounds rounds;
    std::unique_ptr<peer::transport> peers;
    // Epochs of the configuration in the order in which they were adopted.
    std::vector<std::uint64_t> adopted;
    // Messages whose handling failed.
    int damaged = 0;
    std::unique_ptr<entry::store_pool> pool;
    std::unique_ptr<entry::node_context> context;
    std::thread control;

    entry_instance(standin::store_core& core, fake_network& network,
                   shared_clock& time, const std::string& id,
                   std::uint64_t life = 1)
        : time(time), network(network), config(entry_settings(id, life)),
          loop(time),
          peers(network.join(config.id, config.life,
                             [this](const peer::envelope& message)
                             { on_loop([&] { handle(message); }); }))
    {
        pool = std::make_unique<entry::store_pool>(
            1, 16,
            [&core, &time]
            { return std::make_unique<fake_store>(core, time); });
        context = std::make_unique<entry::node_context>(
            entry::node_context{config, this->time, loop, *pool, *pool, *peers,
                                counters, snapshot, std::mt19937_64(1)});
        feed.on_config = [this]
        {
            adopted.push_back(feed.tables->content->epoch.value);
        };
        feed.on_shares = [] {
        };
        feed.on_other = [](const store::entry&) {
        };
        contact.on_epochs =
            [this](const instance_id& from, const freshness::known_epochs& seen)
        {
            note_peer_epochs(feed, from, seen);
        };
        control = std::thread([this] { loop.run(); });
    }

    ~entry_instance()
    {
        pool.reset();
        loop.stop();
        control.join();
    }

    entry_instance(const entry_instance&) = delete;
    entry_instance& operator=(const entry_instance&) = delete;

    // Runs the function on the control thread, and waits.
    void on_loop(const std::function<void()>& f)
    {
        std::promise<void> done;
        loop.post(
            [&]
            {
                f();
                done.set_value();
            });
        done.get_future().wait();
    }

    // Waits until the store call under way, if any, has been dealt with.
    void settle()
    {
        std::promise<void> done;
        pool->submit([&](store::kv_store&) { done.set_value(); });
        done.get_future().wait();
        on_loop([] {});
    }

    void know(const entry_instance& peer)
    {
        on_loop([&] { peers->replace_peer(peer.config.id, {}); });
    }

    // Runs a confirmation round to its end, with all store reads after it.
    void round()
    {
        time.advance(milliseconds(1'000));
        on_loop([this] { run_round(rounds, contact, feed, *context); });
        fetch();
    }

    // Lets the instance fetch what is missing, from peers and the store.
    void fetch()
    {
        for (int i = 0; i < 6; ++i)
        {
            settle();
            on_loop([this] { fetch_missing(feed, *context); });
            time.advance(milliseconds(1));
            network.deliver();
            on_loop(
                [this] {
                    freshness::record_held_epochs(contact.fresh,
                                                  held_epochs(feed));
                });
        }
    }

    freshness::verdict judge()
    {
        auto result = freshness::verdict::stale;
        on_loop([&]
                { result = freshness::evaluate(contact.fresh, time.now()); });
        return result;
    }

    std::uint64_t epoch_held()
    {
        std::uint64_t result = 0;
        on_loop([&] { result = held_epochs(feed).config.value; });
        return result;
    }

private:
    void handle(const peer::envelope& message)
    {
        const auto& body = message.body;
        try
        {
            if (message.kind == peer::message_kind::config_request)
                answer_request(
                    feed, *context, message.from,
                    unpack_value<entry::config_request>(body, "peer"));
            if (message.kind == peer::message_kind::config_reply)
                take_reply(feed, *context,
                           unpack_value<entry::config_reply>(body, "peer"));
        }
        catch (const error&)
        {
            ++damaged;
        }
    }
};

} // namespace parsleyplank::test

#endif
