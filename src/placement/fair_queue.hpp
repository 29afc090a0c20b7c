#ifndef PARSLEYPLANK_PLACEMENT_FAIR_QUEUE_HPP
#define PARSLEYPLANK_PLACEMENT_FAIR_QUEUE_HPP

// Bounded queue of the requests that wait for a slot of an upstream. Customers
// get slots in proportion to their weights (start-time fair queueing), however
// many requests each of them sends.

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
    // Identifies the request.
    std::uint64_t number = 0;
    customer_id customer;
    // Relative share, above 0.
    double weight = 1;
    // Time at which expire() removes the request.
    time_point expires;
};

struct fair_queue
{
    struct tagged_request
    {
        queued_request request;
        // Virtual time at which the service of the request starts.
        double start_tag = 0;
    };

    // The queued requests of one customer, in order of arrival.
    struct flow
    {
        std::deque<tagged_request> requests;
        // Virtual time at which the service of the last request ends.
        double finish_tag = 0;
        double weight = 1;
    };

    // Maximum number of requests of all customers.
    std::size_t max_size = 256;
    std::size_t size = 0;
    // Start tag of the request that got the last slot.
    double virtual_time = 0;
    std::map<customer_id, flow> flows;
};

// Adds a request. If the queue is full, evicts the newest request of the
// customer with the most queued requests in proportion to its weight, which may
// be the added one. Returns the evicted request, which the caller has to
// refuse.
std::optional<queued_request> push(fair_queue& queue, queued_request request);

// Removes and returns the request with the lowest start tag, which gets the
// next free slot, or nullopt if the queue is empty. Does not check expiry
// times: call expire() first.
std::optional<queued_request> pop(fair_queue& queue);

// Removes and returns the requests that have expired.
std::vector<queued_request> expire(fair_queue& queue, time_point now);

// Removes a request whose caller has disconnected. Returns whether it was
// queued.
bool remove(fair_queue& queue, const customer_id& customer,
            std::uint64_t number);

} // namespace parsleyplank::placement

#endif
