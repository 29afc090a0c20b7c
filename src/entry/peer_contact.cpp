#include <parsleyplank/core/log.hpp>
#include <parsleyplank/core/rendezvous.hpp>
#include <parsleyplank/entry/peer_contact.hpp>

#include <algorithm>

namespace parsleyplank::entry
{

namespace
{

// Pings older than this many ticks are forgotten; at 200 ms that is 10 s, after
// which a pong proves nothing within any bound.
constexpr std::size_t remembered_pings = 50;
// Far above every bound. Larger ages are taken as none, because they could
// overflow and date the confirmation into the future.
constexpr std::int64_t longest_age_ms = 3'600'000;
constexpr std::ptrdiff_t designated_per_region = 2;

log4cplus::Logger peer_log()
{
    return component_logger("peer");
}

peer::peer_address address_of(const store::listed_instance& info)
{
    return {info.address, info.peer_port};
}

void dial(node_context& context, const store::listed_instance& info)
{
    try
    {
        context.peers.replace_peer(info.id, address_of(info));
    }
    catch (const error& ec)
    {
        LOG4CPLUS_ERROR(peer_log(), "Can't connect to " << info.id.value << ": "
                                                        << ec.what());
    }
}

void replace_silent(peer_contact& contact, node_context& context)
{
    const auto silent =
        membership::take_unresponsive(contact.members, context.loop.now());
    std::ranges::for_each(
        silent,
        [&](const instance_id& id)
        {
            LOG4CPLUS_WARN(peer_log(),
                           "No pong from " << id.value << "; reconnecting.");
            dial(context, contact.members.members.at(id).info);
        });
}

} // namespace

void tick(peer_contact& contact, node_context& context)
{
    replace_silent(contact, context);
    const ping p{contact.next_nonce++};
    contact.pings.push_back({p.nonce, context.loop.now()});
    if (contact.pings.size() > remembered_pings)
        contact.pings.pop_front();
    std::ranges::for_each(
        contact.members.members, [&](const auto& it)
        { send_to(context, it.first, peer::message_kind::ping, p); });
}

void answer_ping(peer_contact& contact, node_context& context,
                 const instance_id& from, const ping& p)
{
    const auto report =
        freshness::make_report(contact.fresh, context.loop.now());
    send_to(context, from, peer::message_kind::pong,
            pong{p.nonce, report.held.config, report.held.shares,
                 report.age ? report.age->count() : -1, report.store_reachable,
                 contact.draining});
}

void take_pong(peer_contact& contact, node_context& context,
               const instance_id& from, incarnation life, const pong& p)
{
    const auto sent =
        std::ranges::find(contact.pings, p.nonce, &sent_ping::nonce);
    if (sent == contact.pings.end() ||
        !membership::record_contact(contact.members, from, life, p.draining,
                                    context.loop.now()))
        return;
    freshness::peer_report report{{p.config, p.shares}, {}, p.store_reachable};
    if (p.age_ms >= 0 && p.age_ms <= longest_age_ms)
        report.age = milliseconds(p.age_ms);
    freshness::record_pong(contact.fresh, from, sent->at, report);
    contact.on_epochs(from, report.held);
}

void take_list(peer_contact& contact, node_context& context,
               const std::vector<store::listed_instance>& list,
               time_point asked_at, const region_id& store_region)
{
    const auto changes =
        membership::update_from_list(contact.members, list, asked_at);
    std::ranges::for_each(changes.added,
                          [&](const auto& info) { dial(context, info); });
    std::ranges::for_each(changes.replaced,
                          [&](const auto& info) { dial(context, info); });
    std::ranges::for_each(changes.removed, [&](const instance_id& id)
                          { context.peers.remove_peer(id); });
    freshness::record_instance_list(
        contact.fresh, asked_at,
        membership::listed_in_region(contact.members, store_region),
        context.config.region == store_region);
}

bool designated(const peer_contact& contact, const node_context& context)
{
    auto ids = membership::usable_in_region(
        contact.members, context.config.region, context.loop.now());
    ids.push_back(context.config.id);
    const auto order =
        rendezvous_order("confirm/" + context.config.region.value, ids);
    const auto it = std::ranges::find(order, context.config.id);
    return it - order.begin() < designated_per_region;
}

} // namespace parsleyplank::entry
