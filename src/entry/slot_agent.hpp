#ifndef PARSLEYPLANK_ENTRY_SLOT_AGENT_HPP
#define PARSLEYPLANK_ENTRY_SLOT_AGENT_HPP

// In-flight slots of the regions, per upstream: this instance's part of each
// capacity by its share, and loans of slots between instances. Most requests of
// a region come to its own instances, which borrow what the others do not use.

#include <parsleyplank/entry/context.hpp>
#include <parsleyplank/entry/peer_contact.hpp>
#include <parsleyplank/quota/slot_pool.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace parsleyplank::entry
{

struct slot_pool_id
{
    upstream_id upstream;
    region_id region;

    auto operator<=>(const slot_pool_id&) const = default;

    MSGPACK_DEFINE_ARRAY(upstream, region)
};

struct slot_request
{
    std::uint64_t number = 0;
    slot_pool_id pool;
    std::uint32_t slots = 0;

    MSGPACK_DEFINE_ARRAY(number, pool, slots)
};

struct slot_answer
{
    // Number and incarnation of the request that is answered: a restarted
    // borrower counts its requests anew.
    std::uint64_t number = 0;
    incarnation borrower;
    slot_pool_id pool;
    quota::slot_grant grant;

    MSGPACK_DEFINE_ARRAY(number, borrower, pool, grant)
};

struct slot_give_back
{
    incarnation lender;
    slot_pool_id pool;
    quota::slot_return item;

    MSGPACK_DEFINE_ARRAY(lender, pool, item)
};

struct slot_use
{
    quota::slot_pool pool;
    // Requests that wait for a slot here.
    std::uint32_t wanted = 0;
    // Slots in use and wanted, averaged over the last seconds.
    double demand = 0;
    time_point asked_at;
};

struct sent_request
{
    slot_pool_id pool;
    time_point at;
};

struct slot_agent
{
    std::map<slot_pool_id, slot_use> pools;
    // Requests whose answers may still come, by number.
    std::map<std::uint64_t, sent_request> sent;
    std::uint64_t next_number = 1;
    // Until when the home slots may be used; see freshness::fresh_until.
    time_point fresh_until;
    // A leaving instance lends no more.
    bool leaving = false;
};

// Sets the capacity of a pool.
void set_capacity(slot_agent& agent, const slot_pool_id& id,
                  std::uint32_t slots);

// Sets this instance's share of all capacities.
void set_share(slot_agent& agent, share_ppm share);

// Returns the slots that a request with this deadline could take now.
std::uint32_t free_slots(const slot_agent& agent, const slot_pool_id& id,
                         time_point deadline, time_point now);

// Returns the slots that this instance holds, used or free.
std::uint32_t held_slots(const slot_agent& agent, const slot_pool_id& id,
                         time_point now);

// Takes a slot; nothing if none is free.
std::optional<quota::slot_ticket> take_slot(slot_agent& agent,
                                            const slot_pool_id& id,
                                            time_point deadline,
                                            time_point now);

// Ends a request.
void give_slot_back(slot_agent& agent, const slot_pool_id& id,
                    const quota::slot_ticket& ticket);

// Notes that a request found no slot, so that the next tick asks for more.
void note_wanted(slot_agent& agent, const slot_pool_id& id);

// Ends loans, returns idle ones and asks peers for slots. Call every 200 ms.
void tick(slot_agent& agent, node_context& context,
          const peer_contact& contact);

// Takes a message of a peer. Throws codec_error if it is damaged.
void take_message(slot_agent& agent, node_context& context,
                  const peer::envelope& message);

// Returns the largest share that can be given away: none of the slots that are
// lent or in use.
share_ppm donatable(const slot_agent& agent);

} // namespace parsleyplank::entry

#endif
