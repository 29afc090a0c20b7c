#include <parsleyplank/quota/exchange.hpp>
#include <parsleyplank/quota/quota_state.hpp>

#include <algorithm>

namespace parsleyplank::quota
{

namespace
{

// The state that handles one message, the peer that sent the message and the
// output of handling it.
struct message_context
{
    quota_state& state;
    peer_state& peer;
    time_point now;
    quota_output& output;
};

customer_state* find_by_key(quota_state& state, customer_key key)
{
    const auto it = state.by_key.find(key);
    return it == state.by_key.end() ? nullptr : &state.customers[it->second];
}

void handle(const message_context& context, const demand& message)
{
    if (message.number <= context.peer.last_demand)
        return;
    context.peer.last_demand = message.number;
    for (const auto& item : message.items)
    {
        const auto it = context.state.by_short_key.find(item.customer);
        if (it == context.state.by_short_key.end())
            continue;
        context.state.customers[it->second]
            .peer_reports[context.peer.identity.instance] = {
            item.per_10s / 10.0, item.spare_tenths / 10.0, context.now};
    }
}

// Answers each item, with an empty loan if no tokens are spare: the borrower
// then refuses its waiting requests at once or requests tokens from other
// peers.
void handle(const message_context& context, const loan_request& message)
{
    if (message.number <= context.peer.last_request)
        return;
    context.peer.last_request = message.number;
    const auto duration = context.state.settings.token_loan_duration;
    loan_grant grant;
    grant.borrower = context.peer.identity.life;
    grant.number = message.number;
    grant.duration_ms = static_cast<std::uint32_t>(duration.count());
    for (const auto& item : message.items)
    {
        auto* customer = find_by_key(context.state, item.customer);
        if (customer == nullptr)
            continue;
        expire_and_refill(customer->pool, context.now);
        const tokens count(
            std::min(item.tenths / 10.0,
                     spare_tokens(context.state, *customer, context.now)));
        const auto loan =
            lend(customer->pool, context.state.next_loan, context.peer.identity,
                 {token_rate(0), count, count}, duration, context.now);
        if (loan)
            ++context.state.next_loan;
        grant.loans.push_back(loan.value_or(grant_item{item.customer}));
    }
    if (!grant.loans.empty())
        context.output.messages.push_back(
            {context.peer.identity.instance, std::move(grant)});
}

// Removes the open request that the grant answers. A peer that granted less
// than requested counts as having no spare tokens until its next report.
void close_request(customer_state& customer, const instance_id& peer,
                   const loan_grant& message, const grant_item& item)
{
    const auto it = std::ranges::find_if(
        customer.open_requests, [&](const open_request& request)
        { return request.peer == peer && request.number == message.number; });
    if (it == customer.open_requests.end())
        return;
    if (static_cast<double>(item.level) < it->count - 0.1)
        customer.peer_reports[peer].spare = 0;
    customer.open_requests.erase(it);
}

void accept_item(const message_context& context, const loan_grant& message,
                 const grant_item& item, time_point end)
{
    auto* customer = find_by_key(context.state, item.customer);
    if (customer == nullptr)
        return;
    if (!message.to_demand)
        close_request(*customer, context.peer.identity.instance, message, item);
    if (item.loan != 0)
        accept(customer->pool, context.peer.identity, item, end, context.now);
    if (customer->waiting > 0)
        context.output.ready.push_back(customer->pool.limits.customer);
}

// Extends the loans that are held and returns those that are not. Otherwise a
// lender would keep extending a loan whose grant was lost.
void extend_item(const message_context& context, const extension_item& item,
                 time_point end, loan_return& unheld)
{
    auto* customer = find_by_key(context.state, item.customer);
    if (customer == nullptr)
        return;
    expire_and_refill(customer->pool, context.now);
    for (const auto number : item.loans)
        if (!extend_borrowed(customer->pool, context.peer.identity, number,
                             end))
            unheld.items.push_back(return_unheld_loan(
                customer->pool, context.peer.identity, number,
                context.now + context.state.settings.freshness_bound));
}

void handle(const message_context& context, const loan_grant& message)
{
    const auto& sent = message.to_demand ? context.state.sent_demands
                                         : context.state.sent_requests;
    const auto it =
        std::ranges::find(sent, message.number, &sent_number::number);
    const milliseconds duration(message.duration_ms);
    if (message.borrower != context.state.self.life || it == sent.end() ||
        duration > context.state.settings.freshness_bound)
        return;
    const auto end = borrower_loan_end(it->sent, duration);
    for (const auto& item : message.loans)
        accept_item(context, message, item, end);
    loan_return unheld{context.peer.identity.life, {}};
    for (const auto& item : message.extended)
        extend_item(context, item, end, unheld);
    if (!unheld.items.empty())
        context.output.messages.push_back(
            {context.peer.identity.instance, std::move(unheld)});
}

void handle(const message_context& context, const loan_return& message)
{
    if (message.lender != context.state.self.life)
        return;
    for (const auto& item : message.items)
        for (auto& customer : context.state.customers)
            apply_return(customer.pool, context.peer.identity, item,
                         context.now);
}

} // namespace

quota_output on_message(quota_state& state, const member& from,
                        const message_body& body, time_point now)
{
    quota_output output;
    const auto it = std::ranges::find(state.peers, from, &peer_state::identity);
    if (it == state.peers.end())
        return output;
    const message_context context{state, *it, now, output};
    std::visit([&](const auto& message) { handle(context, message); }, body);
    return output;
}

} // namespace parsleyplank::quota
