#include <parsleyplank/core/log.hpp>
#include <parsleyplank/core/rendezvous.hpp>
#include <parsleyplank/entry/rollout_agent.hpp>

#include <algorithm>
#include <random>

namespace parsleyplank::entry
{

namespace
{

// The leader sends the record again every this many ticks, for instances that
// have just started.
constexpr int relay_ticks = 5;

log4cplus::Logger rollout_log()
{
    return component_logger("rollout");
}

std::int64_t unix_ms(const node_context& context)
{
    return std::chrono::duration_cast<milliseconds>(
               context.time.wall_now().time_since_epoch())
        .count();
}

bool concerns(const active_rollout& active, const rollout::rollout_order& what)
{
    return active.wanted.upstream == what.upstream &&
           active.wanted.from == what.from && active.wanted.to == what.to;
}

// Returns whether the record changed what is held.
bool take_record(active_rollout& active, node_context& context,
                 const rollout::rollout_record& record)
{
    if (!concerns(active, record.order))
        return false;
    const auto before = active.state.record;
    rollout::take_record(active.state, record, context.loop.now());
    const auto& now = active.state.record;
    if (now.number == before.number && now.order == before.order)
        return false;
    LOG4CPLUS_INFO(
        rollout_log(),
        now.order.upstream.value
            << " " << now.order.from.value << " to " << now.order.to.value
            << ": " << rollout::to_string(now.state) << " at "
            << now.share.value << " ppm" << (now.late ? ", late" : "")
            << (now.evidence.empty() ? "" : ": " + now.evidence));
    return true;
}

bool leads(const active_rollout& active, const node_context& context,
           const std::vector<instance_id>& live)
{
    const auto* leader =
        rendezvous_first("rollout/" + active.wanted.upstream.value, live);
    return leader != nullptr && *leader == context.config.id;
}

void tell_all(node_context& context, const peer_contact& contact,
              peer::message_kind kind, const auto& body)
{
    std::ranges::for_each(contact.members.members, [&](const auto& it)
                          { send_to(context, it.first, kind, body); });
}

void relay(active_rollout& active, node_context& context,
           const peer_contact& contact, bool due)
{
    if (active.state.record.number == 0 || !(due || active.relay_due))
        return;
    active.relay_due = false;
    tell_all(context, contact, peer::message_kind::rollout_record,
             active.state.record);
}

void report(const active_rollout& active, node_context& context,
            const std::vector<instance_id>& live)
{
    const auto* leader =
        rendezvous_first("rollout/" + active.wanted.upstream.value, live);
    if (leader != nullptr && *leader != context.config.id)
        send_to(
            context, *leader, peer::message_kind::rollout_report,
            rollout_report{active.state.record.order, active.state.own_counts});
}

// Tells whether the record in the store is what a write was decided on. A start
// replaces whatever an earlier rollout left.
bool is_base_of(const std::optional<rollout::rollout_record>& found,
                const rollout::rollout_record& next)
{
    if (next.number == 1)
        return !found || found->order.started < next.order.started;
    return found && found->order == next.order &&
           found->number + 1 == next.number;
}

// Runs on a store thread. Returns the record that the store holds afterwards;
// none if that is not known. The read comes first because the instance that
// leads need not be one that follows the store.
std::optional<rollout::rollout_record>
write_to_store(store::kv_store& store, const rollout::rollout_record& next)
{
    const auto key = rollout_prefix + next.order.upstream.value;
    try
    {
        const auto read = store.get(key);
        std::optional<rollout::rollout_record> found;
        if (read.found)
            found =
                unpack_value<rollout::rollout_record>(read.found->value, key);
        if (!is_base_of(found, next))
            return found;
        const auto expected =
            read.found ? read.found->key_revision : revision();
        if (store.compare_and_swap(key, expected, pack_value(next)).applied)
            return next;
    }
    catch (const error& ec)
    {
        LOG4CPLUS_WARN(rollout_log(), "Record is not written: " << ec.what());
    }
    return std::nullopt;
}

void write_record(rollout_agent& agent, node_context& context,
                  active_rollout& active, const rollout::rollout_record& next)
{
    auto job = [&agent, &context, next](store::kv_store& store)
    {
        context.loop.post(
            [&agent, &context, upstream = next.order.upstream,
             held = write_to_store(store, next)]
            {
                const auto it = agent.rollouts.find(upstream);
                if (it == agent.rollouts.end())
                    return;
                it->second.write_in_flight = false;
                if (held)
                    take_record(it->second, context, *held);
            });
    };
    active.write_in_flight = context.store_jobs.submit(std::move(job));
}

std::optional<rollout::rollout_record>
record_to_write(const rollout_agent& agent, node_context& context,
                active_rollout& active, bool leading)
{
    const bool started = active.state.record.number > 0;
    if (started)
        return rollout::next_record(active.state, leading, {},
                                    context.loop.now(), unix_ms(context));
    if (!leading)
        return std::nullopt;
    const auto& w = active.wanted;
    return rollout::start_record({w.upstream, w.from, w.to, agent.config},
                                 active.state.plan, unix_ms(context));
}

void tick_rollout(rollout_agent& agent, node_context& context,
                  const peer_contact& contact, active_rollout& active,
                  const std::vector<instance_id>& live)
{
    const auto now = context.loop.now();
    if (rollout::check_own_counts(active.state, {}, now))
    {
        LOG4CPLUS_WARN(rollout_log(), "Braking " << active.wanted.upstream.value
                                                 << ": "
                                                 << *active.state.abort_reason);
        tell_all(context, contact, peer::message_kind::rollout_brake,
                 rollout_brake{active.state.record.order,
                               *active.state.abort_reason});
    }
    report(active, context, live);
    relay(active, context, contact,
          agent.ticks % relay_ticks == 0 && leads(active, context, live));
    const bool confirmed = freshness::evaluate(contact.fresh, now) ==
                           freshness::verdict::confirmed;
    if (active.write_in_flight || !confirmed)
        return;
    if (const auto next = record_to_write(agent, context, active,
                                          leads(active, context, live)))
        write_record(agent, context, active, *next);
}

active_rollout* find_rollout(rollout_agent& agent,
                             const rollout::rollout_order& what)
{
    const auto it = agent.rollouts.find(what.upstream);
    return it != agent.rollouts.end() && concerns(it->second, what)
               ? &it->second
               : nullptr;
}

// Reports and brakes count only for the very rollout that they speak of.
active_rollout* find_present(rollout_agent& agent,
                             const rollout::rollout_order& what)
{
    auto* active = find_rollout(agent, what);
    return active != nullptr && active->state.record.order == what ? active
                                                                   : nullptr;
}

} // namespace

void configure(rollout_agent& agent, const config::bundle& content)
{
    agent.config = content.epoch;
    std::map<upstream_id, active_rollout> next;
    std::ranges::for_each(
        content.rollouts,
        [&](const config::rollout& wanted)
        {
            auto& active = next[wanted.upstream];
            const auto it = agent.rollouts.find(wanted.upstream);
            if (it != agent.rollouts.end() &&
                it->second.wanted.from == wanted.from &&
                it->second.wanted.to == wanted.to)
                active = std::move(it->second);
            active.wanted = wanted;
            active.state.plan = {wanted.duration, wanted.first_share};
        });
    agent.rollouts = std::move(next);
}

void tick(rollout_agent& agent, node_context& context,
          const peer_contact& contact)
{
    ++agent.ticks;
    const auto live = membership::usable_members(
        contact.members, context.loop.now(), !contact.draining);
    std::ranges::for_each(
        agent.rollouts, [&](auto& it)
        { tick_rollout(agent, context, contact, it.second, live); });
}

void take_entry(rollout_agent& agent, node_context& context,
                const store::entry& entry)
{
    if (entry.value.empty())
        return;
    const auto record =
        unpack_value<rollout::rollout_record>(entry.value, entry.key);
    auto* active = find_rollout(agent, record.order);
    if (active != nullptr && take_record(*active, context, record))
        active->relay_due = true;
}

void take_message(rollout_agent& agent, node_context& context,
                  const peer::envelope& message)
{
    const auto& name = message.from.value;
    if (message.kind == peer::message_kind::rollout_report)
    {
        auto report = unpack_value<rollout_report>(message.body, name);
        if (auto* active = find_present(agent, report.what))
            active->state.reports[message.from] = std::move(report.counts);
    }
    else if (message.kind == peer::message_kind::rollout_brake)
    {
        const auto brake = unpack_value<rollout_brake>(message.body, name);
        auto* active = find_present(agent, brake.what);
        if (active != nullptr &&
            rollout::abort_rollout(active->state, brake.evidence))
            LOG4CPLUS_WARN(rollout_log(),
                           name << " braked: " << brake.evidence);
    }
    else
    {
        const auto record =
            unpack_value<rollout::rollout_record>(message.body, name);
        if (auto* active = find_rollout(agent, record.order))
            take_record(*active, context, record);
    }
}

std::optional<version_choice> choose_version(const rollout_agent& agent,
                                             node_context& context,
                                             const upstream_id& upstream)
{
    const auto it = agent.rollouts.find(upstream);
    if (it == agent.rollouts.end())
        return std::nullopt;
    const auto share = rollout::share_in_use(it->second.state).value;
    const bool is_new = std::uniform_int_distribution<std::uint32_t>(
                            1, ppm_total)(context.rng) <= share;
    const auto& wanted = it->second.wanted;
    return version_choice{is_new ? wanted.to : wanted.from, is_new};
}

version_choice other_version(const rollout_agent& agent,
                             const upstream_id& upstream,
                             const version_choice& chosen)
{
    const auto& wanted = agent.rollouts.at(upstream).wanted;
    return {chosen.is_new ? wanted.from : wanted.to, !chosen.is_new};
}

void record_result(rollout_agent& agent, const upstream_id& upstream,
                   const route_id& route, const rollout::observation& seen)
{
    const auto it = agent.rollouts.find(upstream);
    if (it != agent.rollouts.end())
        rollout::record(it->second.state.own_counts, route, seen);
}

} // namespace parsleyplank::entry
