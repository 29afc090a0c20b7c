#include <parsleyplank/placement/fair_queue.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace parsleyplank::placement
{

namespace
{

// Returns the queue length of a customer in proportion to its weight.
double weighted_backlog(const fair_queue::flow& flow)
{
    return static_cast<double>(flow.requests.size()) / flow.weight;
}

// Removes the requests that match the predicate and returns their number. The
// remaining requests get earlier start tags, so that a customer is not charged
// for requests that never got a slot.
template <typename Predicate>
std::size_t remove_waiting(fair_queue& queue, fair_queue::flow& flow,
                           Predicate predicate)
{
    if (flow.requests.empty())
        return 0;
    double start_tag = flow.requests.front().start_tag;
    const auto n = std::erase_if(flow.requests, predicate);
    if (n == 0)
        return 0;
    for (auto& it : flow.requests)
    {
        it.start_tag = start_tag;
        start_tag += 1 / flow.weight;
    }
    flow.finish_tag = start_tag;
    queue.size -= n;
    return n;
}

// Removes customers without queued requests whose finish tag has passed. A
// later finish tag still has to delay the customer's next request.
void drop_idle_flows(fair_queue& queue)
{
    std::erase_if(queue.flows,
                  [&](const auto& it)
                  {
                      return it.second.requests.empty() &&
                             it.second.finish_tag <= queue.virtual_time;
                  });
}

// Removes and returns the newest request of the customer with the largest
// weighted backlog. The queue must not be empty.
queued_request evict_newest(fair_queue& queue)
{
    auto& flow = std::ranges::max_element(
                     queue.flows, {},
                     [](const auto& it) { return weighted_backlog(it.second); })
                     ->second;
    auto evicted = std::move(flow.requests.back());
    flow.requests.pop_back();
    flow.finish_tag -= 1 / flow.weight;
    --queue.size;
    return std::move(evicted.request);
}

} // namespace

std::optional<queued_request> push(fair_queue& queue, queued_request request)
{
    auto& flow = queue.flows[request.customer];
    // The lower bound avoids a division by zero.
    flow.weight = std::max(request.weight, 1e-6);
    const double start_tag = std::max(queue.virtual_time, flow.finish_tag);
    flow.finish_tag = start_tag + 1 / flow.weight;
    flow.requests.push_back({std::move(request), start_tag});
    ++queue.size;
    if (queue.size <= queue.max_size)
        return std::nullopt;
    return evict_newest(queue);
}

std::optional<queued_request> pop(fair_queue& queue)
{
    if (queue.size == 0)
    {
        queue.flows.clear();
        queue.virtual_time = 0;
        return std::nullopt;
    }
    auto next = queue.flows.end();
    for (auto it = queue.flows.begin(); it != queue.flows.end(); ++it)
    {
        if (!it->second.requests.empty() &&
            (next == queue.flows.end() ||
             it->second.requests.front().start_tag <
                 next->second.requests.front().start_tag))
            next = it;
    }
    auto first = std::move(next->second.requests.front());
    next->second.requests.pop_front();
    --queue.size;
    queue.virtual_time = std::max(queue.virtual_time, first.start_tag);
    drop_idle_flows(queue);
    return std::move(first.request);
}

std::vector<queued_request> expire(fair_queue& queue, time_point now)
{
    std::vector<queued_request> expired;
    for (auto& [customer, flow] : queue.flows)
    {
        remove_waiting(queue, flow,
                       [&](const fair_queue::tagged_request& it)
                       {
                           if (it.request.expires > now)
                               return false;
                           expired.push_back(it.request);
                           return true;
                       });
    }
    return expired;
}

bool remove(fair_queue& queue, const customer_id& customer,
            std::uint64_t number)
{
    const auto it = queue.flows.find(customer);
    if (it == queue.flows.end())
        return false;
    return remove_waiting(queue, it->second,
                          [&](const fair_queue::tagged_request& one)
                          { return one.request.number == number; }) > 0;
}

} // namespace parsleyplank::placement
