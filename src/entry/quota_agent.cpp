#include <parsleyplank/core/log.hpp>
#include <parsleyplank/entry/quota_agent.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace parsleyplank::entry
{

namespace
{

using quota::member;

// Added to the wait of a reclaim for clocks that run at different speeds.
constexpr milliseconds reclaim_margin{1'000};

log4cplus::Logger quota_log()
{
    return component_logger("quota");
}

peer::message_kind kind_of(const quota::message_body& body)
{
    constexpr std::array kinds{
        peer::message_kind::demand, peer::message_kind::loan_request,
        peer::message_kind::loan_grant, peer::message_kind::loan_return};
    static_assert(kinds.size() == std::variant_size_v<quota::message_body>);
    return kinds.at(body.index());
}

void handle_output(quota_agent& agent, node_context& context,
                   const quota::quota_output& output)
{
    send_all(context, output.messages);
    std::ranges::for_each(output.ready, agent.on_ready);
}

// Returns the listed members that satisfy the condition, and this instance.
template <typename Predicate>
std::vector<member> members_with_self(const peer_contact& contact,
                                      const member& self, Predicate chosen)
{
    std::vector<member> members{self};
    std::ranges::for_each(
        contact.members.members,
        [&](const auto& it)
        {
            if (chosen(it.second))
                members.push_back({it.first, it.second.info.life});
        });
    return members;
}

std::vector<member> usable_members(const peer_contact& contact,
                                   const member& self, time_point now)
{
    return members_with_self(
        contact, self,
        [&](const membership::member& m)
        { return membership::usable(contact.members, m.info.id, now); });
}

std::vector<member> without(std::vector<member> members, const member& who)
{
    std::erase(members, who);
    return members;
}

void finish_write(quota_agent& agent, state_feed& feed,
                  const std::optional<store::write_result>& written)
{
    agent.write_in_flight = false;
    // An unknown outcome is settled by the next read of the table, and the same
    // table is written again until then.
    if (!written)
        return;
    if (written->applied)
    {
        LOG4CPLUS_INFO(quota_log(), "Share table epoch "
                                        << agent.unsettled->number.value
                                        << " is written.");
        if (agent.unsettled->number > feed.shares.number)
        {
            feed.shares = *agent.unsettled;
            feed.shares_revision = written->key_revision;
            feed.on_shares();
        }
    }
    agent.unsettled.reset();
}

void write_table(quota_agent& agent, node_context& context, state_feed& feed)
{
    auto job = [&agent, &context, &feed, base = agent.unsettled_base,
                value = quota::pack_share_table(*agent.unsettled)](
                   store::kv_store& store)
    {
        std::optional<store::write_result> written;
        try
        {
            written = store.compare_and_swap(shares_key, base, value);
        }
        catch (const error& ec)
        {
            LOG4CPLUS_WARN(quota_log(),
                           "Share table is not written: " << ec.what());
        }
        context.loop.post([&agent, &feed, written]
                          { finish_write(agent, feed, written); });
    };
    agent.write_in_flight = context.store_jobs.submit(std::move(job));
}

quota::share_table apply(const quota::share_table& table,
                         const quota::reclaim_step& step,
                         const std::vector<member>& receivers)
{
    if (step.action == quota::reclaim_action::revoke)
        return quota::revoke(table, step.holder);
    return quota::redistribute(table, step.holder, receivers);
}

std::optional<quota::share_table> next_reclaim(quota_agent& agent,
                                               node_context& context,
                                               const peer_contact& contact,
                                               const state_feed& feed)
{
    const auto listed =
        members_with_self(contact, agent.state.self,
                          [](const membership::member&) { return true; });
    const auto now = context.loop.now();
    const auto steps = quota::update_reclaim_watch(
        agent.reclaim, feed.shares, listed,
        freshness::evaluate(contact.fresh, now) ==
            freshness::verdict::confirmed,
        quota::reclaim_wait(agent.freshness_bound, reclaim_margin), now);
    if (steps.empty())
        return std::nullopt;
    const auto& step = steps.front();
    LOG4CPLUS_INFO(quota_log(), (step.action == quota::reclaim_action::revoke
                                     ? "Revoking the share of "
                                     : "Redistributing the share of ")
                                    << step.holder.instance.value
                                    << " incarnation " << step.holder.life.value
                                    << ".");
    return apply(feed.shares, step,
                 usable_members(contact, agent.state.self, now));
}

// Leaves out what would take away slots that are lent or in use.
std::vector<quota::donation>
limit_donations(std::vector<quota::donation> wanted, share_ppm most)
{
    auto left = most.value;
    std::ranges::for_each(wanted,
                          [&](quota::donation& d)
                          {
                              d.share.value = std::min(d.share.value, left);
                              left -= d.share.value;
                          });
    std::erase_if(wanted,
                  [](const quota::donation& d) { return d.share.value == 0; });
    return wanted;
}

std::optional<quota::share_table> next_table(quota_agent& agent,
                                             node_context& context,
                                             const peer_contact& contact,
                                             const state_feed& feed)
{
    const auto& self = agent.state.self;
    const auto now = context.loop.now();
    if (feed.shares.number == epoch())
        return quota::create_share_table(self);
    const auto members = usable_members(contact, self, now);
    if (agent.state.leaving)
    {
        const auto others = without(members, self);
        const auto share = quota::usable_share(feed.shares, self);
        return others.empty() || agent.slots_donatable < share
                   ? std::nullopt
                   : quota::prepare_hand_over(agent.state, others, now);
    }
    const auto* own = quota::find_holder(feed.shares, self);
    if (own != nullptr && own->revoked_epoch != epoch())
        return quota::restore(feed.shares, self);
    const auto wanted = limit_donations(
        quota::even_split(feed.shares, self, members), agent.slots_donatable);
    if (!wanted.empty())
        return quota::prepare_donations(agent.state, wanted, now);
    return next_reclaim(agent, context, contact, feed);
}

// Returns why a leaving instance that may write has no table to write.
std::string hand_over_obstacle(const quota_agent& agent,
                               const node_context& context,
                               const peer_contact& contact,
                               const state_feed& feed)
{
    const auto& self = agent.state.self;
    const auto now = context.loop.now();
    if (!feed.shares_revision)
        return "the revision of share table epoch " +
               std::to_string(feed.shares.number.value) + " is not known";
    if (without(usable_members(contact, self, now), self).empty())
        return "no other instance is usable";
    if (agent.slots_donatable < quota::usable_share(feed.shares, self))
        return "slots are lent or in use";
    if (!quota::home_usable(agent.state, now))
        return "the share is not usable";
    if (agent.state.pending)
        return "a donation is not confirmed";
    return "loans are outstanding";
}

// Logs the reason once for as long as it lasts.
void log_obstacle(quota_agent& agent, const std::string& reason)
{
    if (reason == agent.obstacle)
        return;
    agent.obstacle = reason;
    LOG4CPLUS_INFO(quota_log(),
                   "The share is not handed over: " << reason << ".");
}

bool is_confirmed(const peer_contact& contact, const node_context& context)
{
    return freshness::evaluate(contact.fresh, context.loop.now()) ==
           freshness::verdict::confirmed;
}

// Returns whether this instance has a change of its own share to write.
bool own_change_due(const quota_agent& agent, const node_context& context,
                    const peer_contact& contact, const state_feed& feed)
{
    const auto& self = agent.state.self;
    const auto* own = quota::find_holder(feed.shares, self);
    if (own == nullptr)
        return false;
    if (agent.state.leaving || own->revoked_epoch != epoch())
        return true;
    const auto members = usable_members(contact, self, context.loop.now());
    return !quota::even_split(feed.shares, self, members).empty();
}

std::vector<store::entry> read_table(store::kv_store& store)
{
    try
    {
        if (auto read = store.get(shares_key); read.found)
            return {std::move(*read.found)};
    }
    catch (const error& ec)
    {
        LOG4CPLUS_WARN(quota_log(), "Share table can't be read: " << ec.what());
    }
    return {};
}

bool is_amount(float value)
{
    return std::isfinite(value) && value >= 0;
}

// Throws codec_error unless the terms are amounts: one NaN would stay in a
// pool, and a pool without bound breaks the customer's limit.
template <typename Item>
void check_terms(const std::vector<Item>& items, const std::string& name)
{
    const bool sound = std::ranges::all_of(items,
                                           [](const Item& it) {
                                               return is_amount(it.rate) &&
                                                      is_amount(it.burst) &&
                                                      is_amount(it.level);
                                           });
    if (!sound)
        throw codec_error(name + ": the terms of a loan are not amounts");
}

} // namespace

quota::message_body unpack_body(const peer::envelope& message)
{
    const auto& bytes = message.body;
    const auto& name = message.from.value;
    switch (message.kind)
    {
    case peer::message_kind::demand:
        return unpack_value<quota::demand>(bytes, name);
    case peer::message_kind::loan_request:
        return unpack_value<quota::loan_request>(bytes, name);
    case peer::message_kind::loan_grant:
    {
        auto grant = unpack_value<quota::loan_grant>(bytes, name);
        check_terms(grant.loans, name);
        return grant;
    }
    case peer::message_kind::loan_return:
    {
        auto given = unpack_value<quota::loan_return>(bytes, name);
        check_terms(given.items, name);
        return given;
    }
    default:
        throw codec_error(name + ": not a quota message");
    }
}

void configure(quota_agent& agent, node_context& context,
               const config::bundle& content)
{
    std::vector<quota::customer_limits> limits;
    limits.reserve(content.customers.size());
    std::ranges::for_each(content.customers,
                          [&](const config::customer& c) {
                              limits.push_back({c.id, c.rate, c.burst});
                          });
    quota::set_customers(agent.state, limits, context.loop.now());
    agent.freshness_bound = content.settings.freshness_bound;
    agent.state.settings.borrow_wait = content.settings.borrow_wait;
}

void tick(quota_agent& agent, node_context& context,
          const peer_contact& contact)
{
    const auto now = context.loop.now();
    if (const auto until = freshness::fresh_until(contact.fresh, now))
        quota::set_fresh_until(agent.state, *until);
    quota::set_peers(agent.state,
                     without(usable_members(contact, agent.state.self, now),
                             agent.state.self));
    handle_output(agent, context, quota::tick(agent.state, now));
}

void take_table(quota_agent& agent, node_context& context,
                const state_feed& feed)
{
    quota::set_share_table(agent.state, feed.shares, context.loop.now());
    if (agent.unsettled && agent.unsettled->number <= feed.shares.number &&
        !agent.write_in_flight)
        agent.unsettled.reset();
    agent.handed_over =
        agent.state.leaving &&
        quota::find_holder(feed.shares, agent.state.self) == nullptr;
}

share_ppm share_in_use(const quota_agent& agent)
{
    const auto& state = agent.state;
    const auto held = quota::usable_share(state.table, state.self).value;
    const auto given = state.pending ? state.pending->share.value : 0;
    return share_ppm{held - std::min(held, given)};
}

void fetch_revision(quota_agent& agent, node_context& context,
                    const peer_contact& contact, state_feed& feed)
{
    if (agent.read_in_flight || feed.shares_revision ||
        !is_confirmed(contact, context) ||
        !own_change_due(agent, context, contact, feed))
        return;
    auto job = [&agent, &context, &feed](store::kv_store& store)
    {
        context.loop.post(
            [&agent, &context, &feed, found = read_table(store)]
            {
                agent.read_in_flight = false;
                take_entries(feed, context, found);
            });
    };
    agent.read_in_flight = context.store_jobs.submit(std::move(job));
}

void maintain_shares(quota_agent& agent, node_context& context,
                     const peer_contact& contact, state_feed& feed)
{
    const bool confirmed = is_confirmed(contact, context);
    const bool at_revision =
        feed.shares_revision || feed.shares.number == epoch();
    if (agent.write_in_flight)
        return;
    const bool may_write = confirmed && at_revision;
    if (may_write && !agent.unsettled)
    {
        agent.unsettled = next_table(agent, context, contact, feed);
        agent.unsettled_base = feed.shares_revision.value_or(revision());
    }
    if (may_write && agent.unsettled)
        write_table(agent, context, feed);
    else if (agent.state.leaving && !agent.handed_over)
        log_obstacle(
            agent, confirmed ? hand_over_obstacle(agent, context, contact, feed)
                             : "the state is not confirmed");
}

void take_message(quota_agent& agent, node_context& context,
                  const peer::envelope& message)
{
    handle_output(agent, context,
                  quota::on_message(agent.state, {message.from, message.life},
                                    unpack_body(message), context.loop.now()));
}

void send_all(node_context& context,
              std::span<const quota::outgoing_message> messages)
{
    std::ranges::for_each(messages,
                          [&](const quota::outgoing_message& m) {
                              context.peers.send(m.receiver, kind_of(m.body),
                                                 quota::pack_body(m.body));
                          });
}

} // namespace parsleyplank::entry
