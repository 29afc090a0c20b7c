#include <parsleyplank/usage/hand_over.hpp>

#include <algorithm>
#include <utility>

namespace parsleyplank::usage
{

namespace
{

// Largest encoded size of a change without the text of the customer's id.
constexpr std::size_t change_overhead_bytes = 24;

void add_changes(window_counts& counts, const std::vector<count_change>& batch)
{
    for (const auto& it : batch)
        add_count(counts, it.window, it.customer, it.change);
}

bool contains(const fence_tokens& tokens, fence_token token)
{
    return std::ranges::find(tokens, token) != tokens.end();
}

} // namespace

std::vector<count_change> take_batch(window_counts& counts,
                                     std::size_t max_bytes)
{
    std::vector<count_change> batch;
    std::size_t n = 0;
    while (!counts.empty())
    {
        auto& [window, customers] = *counts.begin();
        const auto first = customers.begin();
        n += change_overhead_bytes + first->first.value.size();
        if (!batch.empty() && n > max_bytes)
            break;
        batch.push_back({window, first->first, first->second});
        customers.erase(first);
        if (customers.empty())
            counts.erase(counts.begin());
    }
    return batch;
}

const open_batch* next_batch(count_sender& sender,
                             const std::optional<instance_id>& to,
                             bool receiver_gone, time_point now)
{
    if (sender.open && receiver_gone)
    {
        add_changes(sender.pending, sender.open->changes);
        sender.open.reset();
    }
    if (sender.open)
    {
        if (now - sender.open->sent_at < sender.options.resend_interval)
            return nullptr;
        sender.open->sent_at = now;
        return &*sender.open;
    }
    if (!to || sender.pending.empty())
        return nullptr;
    sender.open = {*to, ++sender.last_number,
                   take_batch(sender.pending, sender.options.max_batch_bytes),
                   now};
    sender.open->has_more = !sender.pending.empty();
    return &*sender.open;
}

bool acknowledge(count_sender& sender, const instance_id& from,
                 std::uint64_t number, fence_token token)
{
    if (!sender.open || sender.open->to != from ||
        sender.open->number != number)
        return false;
    const auto batch = std::exchange(sender.open, std::nullopt);
    if (token == fence_token(0))
        return true;
    set_holder(sender, token);
    const bool told =
        token == sender.told_token || contains(sender.inherited_tokens, token);
    add_changes(told ? sender.told : sender.pending, batch->changes);
    return true;
}

void set_holder(count_sender& sender, fence_token token,
                const fence_tokens& inherits)
{
    if (token <= sender.told_token)
        return;
    if (!contains(inherits, sender.told_token))
        add_counts(sender.pending, std::exchange(sender.told, {}));
    sender.told_token = token;
    sender.inherited_tokens = inherits;
}

window_counts tell_self(count_sender& sender)
{
    add_counts(sender.told, sender.pending);
    return std::exchange(sender.pending, {});
}

void forget_before(count_sender& sender, window_id first)
{
    remove_before(sender.pending, first);
    remove_before(sender.told, first);
}

std::optional<fence_token> find_received(const count_receiver& receiver,
                                         const usage_message& batch)
{
    const auto it = receiver.senders.find(batch.sender);
    if (it == receiver.senders.end() ||
        it->second.started_ms != batch.started_ms ||
        it->second.number != batch.number)
        return std::nullopt;
    return it->second.token;
}

bool record_received(count_receiver& receiver, const usage_message& batch,
                     fence_token token, time_point now)
{
    auto& last = receiver.senders[batch.sender];
    if (std::pair(last.started_ms, last.number) >=
        std::pair(batch.started_ms, batch.number))
        return false;
    last = {batch.started_ms, batch.number, token, now};
    return true;
}

void forget_senders(count_receiver& receiver, milliseconds retention,
                    time_point now)
{
    std::erase_if(receiver.senders, [&](const auto& it)
                  { return now - it.second.received_at >= retention; });
}

} // namespace parsleyplank::usage
