#include <parsleyplank/entry/decision_log.hpp>

#include <utility>

namespace parsleyplank::entry
{

decision_log::decision_log(std::size_t capacity) : capacity(capacity)
{
}

void decision_log::add(decision d)
{
    if (order.size() >= capacity)
    {
        by_id.erase(order.front());
        order.pop_front();
    }
    order.push_back(d.id);
    by_id[d.id] = std::move(d);
}

const decision* decision_log::find(const request_id& id) const
{
    const auto it = by_id.find(id);
    return it == by_id.end() ? nullptr : &it->second;
}

} // namespace parsleyplank::entry
