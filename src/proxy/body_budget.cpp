#include <parsleyplank/proxy/body_budget.hpp>

#include <algorithm>
#include <utility>

namespace parsleyplank::proxy
{

body_reservation::body_reservation(std::shared_ptr<body_budget> from,
                                   std::size_t max_total,
                                   std::function<void()> on_reclaim)
    : budget(std::move(from)),
      total_limit(std::min(max_total, budget->limit())),
      notify(std::move(on_reclaim))
{
    if (notify)
        budget->reclaimable.insert(this);
}

body_reservation::~body_reservation()
{
    keep();
    budget->total -= bytes;
}

bool body_reservation::resize(std::size_t n)
{
    const auto others = [this]
    {
        return budget->total - bytes;
    };
    while (n > bytes && others() + n > total_limit)
        if (!budget->reclaim_larger_than(n, this))
            return false;
    budget->total = others() + n;
    bytes = n;
    return true;
}

void body_reservation::keep()
{
    budget->reclaimable.erase(this);
    notify = nullptr;
}

std::size_t body_reservation::size() const
{
    return bytes;
}

void body_reservation::reclaim()
{
    budget->total -= std::exchange(bytes, 0);
    budget->reclaimable.erase(this);
    if (const auto call = std::exchange(notify, nullptr))
        call();
}

bool reserve_room(std::string& body, std::size_t n, body_reservation& memory)
{
    // The parser may have made room itself.
    if (body.capacity() - body.size() >= n)
        return memory.resize(std::max(body.capacity(), memory.size()));
    const auto wanted =
        std::max({body.size() + n, 2 * body.capacity(), memory.size()});
    if (!memory.resize(body.capacity() + wanted))
        return false;
    body.reserve(wanted);
    memory.resize(body.capacity());
    return true;
}

body_budget::body_budget(std::size_t max_bytes) : max_total(max_bytes)
{
}

std::size_t body_budget::limit() const
{
    return max_total;
}

std::size_t body_budget::used() const
{
    return total;
}

bool body_budget::reclaim_larger_than(std::size_t n,
                                      const body_reservation* except)
{
    const auto size = [&](const body_reservation* it)
    {
        return it == except ? 0 : it->bytes;
    };
    const auto largest = std::ranges::max_element(reclaimable, {}, size);
    if (largest == reclaimable.end() || size(*largest) <= n)
        return false;
    (*largest)->reclaim();
    return true;
}

} // namespace parsleyplank::proxy
