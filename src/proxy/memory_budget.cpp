#include <parsleyplank/proxy/memory_budget.hpp>

#include <algorithm>
#include <utility>

namespace parsleyplank::proxy
{

memory_reservation::memory_reservation(std::shared_ptr<memory_budget> from,
                                       std::size_t max_total,
                                       std::function<void()> on_reclaim,
                                       std::function<bool()> may_reclaim)
    : budget(std::move(from)),
      total_limit(std::min(max_total, budget->limit())),
      notify(std::move(on_reclaim)), allowed(std::move(may_reclaim)),
      number(++budget->last_number)
{
    if (notify)
        budget->reclaimable.insert(this);
}

memory_reservation::~memory_reservation()
{
    keep();
    budget->total -= bytes;
}

bool memory_reservation::resize(std::size_t n)
{
    return resize_within(n, total_limit);
}

bool memory_reservation::resize_within(std::size_t n, std::size_t max_total)
{
    const auto others = [this]
    {
        return budget->total - bytes;
    };
    while (n > bytes && others() + n > max_total)
        if (!budget->reclaim_larger_than(n, this))
            return false;
    budget->total = others() + n;
    bytes = n;
    return true;
}

void memory_reservation::charge(std::size_t n)
{
    budget->total = budget->total - bytes + n;
    bytes = n;
}

void memory_reservation::offer(std::function<void()> on_reclaim,
                               std::function<bool()> may_reclaim)
{
    notify = std::move(on_reclaim);
    allowed = std::move(may_reclaim);
    budget->reclaimable.insert(this);
}

void memory_reservation::keep()
{
    budget->reclaimable.erase(this);
    notify = nullptr;
}

std::size_t memory_reservation::size() const
{
    return bytes;
}

void memory_reservation::reclaim()
{
    budget->total -= std::exchange(bytes, 0);
    budget->reclaimable.erase(this);
    if (const auto call = std::exchange(notify, nullptr))
        call();
}

bool reserve_room(std::string& body, std::size_t n, memory_reservation& memory)
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

memory_budget::memory_budget(std::size_t max_bytes) : max_total(max_bytes)
{
}

std::size_t memory_budget::limit() const
{
    return max_total;
}

std::size_t memory_budget::used() const
{
    return total;
}

bool memory_budget::reclaim_larger_than(std::size_t n,
                                        const memory_reservation* except)
{
    memory_reservation* largest = nullptr;
    for (auto* it : reclaimable)
    {
        const bool larger =
            it->bytes > n &&
            (largest == nullptr || it->bytes > largest->bytes ||
             (it->bytes == largest->bytes && it->number < largest->number));
        if (it != except && larger && (!it->allowed || it->allowed()))
            largest = it;
    }
    if (largest == nullptr)
        return false;
    largest->reclaim();
    return true;
}

} // namespace parsleyplank::proxy
