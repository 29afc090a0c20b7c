#ifndef PARSLEYPLANK_PLACEMENT_FAIR_QUEUE_HPP
#define PARSLEYPLANK_PLACEMENT_FAIR_QUEUE_HPP

// Short bounded queue of an upstream without a free slot. Customers get slots
// in proportion to their weights (start-time fair queueing), however many
// requests each of them sends.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace parsleyplank::placement
{

struct queued_request
{
    std::uint64_t number = 0;
    customer_id customer;
    // Relative share, above 0.
    double weight = 1;
    // The request leaves the queue at this time at the latest.
    time_point expires;
};

struct fair_queue
{
    struct tagged_request
    {
        queued_request request;
        // Virtual start time.
        double start_tag = 0;
    };

    struct flow
    {
        std::deque<tagged_request> requests;
        // Virtual time at which the customer's last request ends.
        double finish_tag = 0;
        double weight = 1;
    };

    std::size_t max_size = 256;
    std::size_t size = 0;
    double virtual_time = 0;
    std::map<customer_id, flow> flows;
};

// Adds a request. If the queue is full, the newest request of the customer that
// holds the most in proportion to its weight gives way, which may be this one.
// Returns the request that has to be refused, if any.
std::optional<queued_request> push(fair_queue& queue, queued_request request);

// Removes and returns the request that gets the next free slot, or nullopt if
// none is waiting. Call expire first.
std::optional<queued_request> pop(fair_queue& queue);

// Removes and returns the requests whose time has come.
std::vector<queued_request> expire(fair_queue& queue, time_point now);

// Removes a request whose caller has gone. Returns whether it was waiting.
bool remove(fair_queue& queue, const customer_id& customer,
            std::uint64_t number);

} // namespace parsleyplank::placement

#endif
