#include <parsleyplank/freshness/freshness.hpp>

#include <algorithm>

namespace parsleyplank::freshness
{

namespace
{

// Consecutive failed rounds after which the store counts as unreachable. A
// single failure may be a lost packet.
constexpr int failed_rounds_unreachable = 2;

void raise_to(epoch& held, epoch offered)
{
    held = std::max(held, offered);
}

void raise_to(known_epochs& held, const known_epochs& offered)
{
    raise_to(held.config, offered.config);
    raise_to(held.shares, offered.shares);
}

bool is_within(time_point since, time_point now, milliseconds bound)
{
    return now - since <= bound;
}

// Replaces the stored confirmation if the given one is later.
void update_latest(std::optional<confirmation>& kept, const confirmation& c)
{
    if (!kept || kept->as_of < c.as_of)
        kept = c;
}

void record_confirmation(state& s, const confirmation& c)
{
    raise_to(s.highest_seen, c.newest);
    update_latest(covers(s.held, c.newest) ? s.effective : s.pending, c);
}

// Returns whether a recent report of the peer says that it does not reach the
// store.
bool attests(const state& s, const instance_id& id, time_point now)
{
    const auto it = s.store_reports.find(id);
    return it != s.store_reports.end() && !it->second.store_reachable &&
           is_within(it->second.pinged_at, now, s.bounds.bound);
}

// Returns the maximum age of the instance list for an attestation. A list
// without an instance in the store's region is the only evidence that the
// region is down, so it has to be as recent as any other evidence.
milliseconds max_list_age(const state& s)
{
    const bool region_dead = s.store_region.empty() && !s.in_store_region;
    return region_dead ? std::min(s.bounds.bound, s.bounds.list_bound)
                       : s.bounds.list_bound;
}

// Returns the time until which an outage is attested, or nullopt if it is not.
// The instance's own failed round expires like the reports of its peers.
std::optional<time_point> attested_until(const state& s, time_point now)
{
    // A newer epoch than the held ones may withdraw a key.
    if (!s.listed_at || !s.round_started_at || store_reachable(s) ||
        !covers(s.held, s.highest_seen))
        return std::nullopt;
    if (!std::ranges::all_of(s.store_region, [&](const instance_id& id)
                             { return attests(s, id, now); }))
        return std::nullopt;
    auto until = std::min(*s.listed_at + max_list_age(s),
                          *s.round_started_at + s.bounds.bound);
    std::ranges::for_each(
        s.store_region,
        [&](const instance_id& id)
        {
            until = std::min(until,
                             s.store_reports.at(id).pinged_at + s.bounds.bound);
        });
    return until;
}

} // namespace

bool covers(const known_epochs& a, const known_epochs& b)
{
    return a.config >= b.config && a.shares >= b.shares;
}

std::string_view to_string(verdict v)
{
    switch (v)
    {
    case verdict::confirmed:
        return "confirmed";
    case verdict::outage_attested:
        return "outage_attested";
    case verdict::stale:
        return "stale";
    }
    return "stale";
}

void record_held_epochs(state& s, const known_epochs& held)
{
    raise_to(s.held, held);
    raise_to(s.highest_seen, s.held);
    if (s.pending && covers(s.held, s.pending->newest))
    {
        update_latest(s.effective, *s.pending);
        s.pending.reset();
    }
}

bool round_due(const state& s, time_point now, bool designated)
{
    if (s.round_in_flight)
        return false;
    // One failure may be a lost packet. A designated instance retries early, so
    // that an outage is attested before the last confirmation expires.
    const auto interval = designated && s.failed_rounds == 1
                              ? s.bounds.round_interval / 4
                              : s.bounds.round_interval;
    if (s.round_started_at && now - *s.round_started_at < interval)
        return false;
    const auto age = confirmation_age(s, now);
    return designated || !age || *age > s.bounds.bound / 2;
}

void start_round(state& s, time_point now)
{
    s.round_in_flight = true;
    s.round_started_at = now;
}

void finish_round(state& s, round_outcome end, const known_epochs& newest)
{
    s.round_in_flight = false;
    s.failed_rounds = end == round_outcome::no_answer ? s.failed_rounds + 1 : 0;
    if (end == round_outcome::confirmed)
        record_confirmation(s, {*s.round_started_at, newest});
}

void record_pong(state& s, const instance_id& peer, time_point pinged_at,
                 const peer_report& report)
{
    raise_to(s.highest_seen, report.held);
    auto& w = s.store_reports[peer];
    if (w.pinged_at <= pinged_at)
        w = {pinged_at, report.store_reachable};
    if (report.age)
        record_confirmation(s, {pinged_at - *report.age, report.held});
}

void record_instance_list(state& s, time_point requested_at,
                          std::vector<instance_id> store_region,
                          bool in_store_region)
{
    s.listed_at = requested_at;
    s.store_region = std::move(store_region);
    s.in_store_region = in_store_region;
    std::erase_if(s.store_reports,
                  [&](const auto& it)
                  {
                      return std::ranges::find(s.store_region, it.first) ==
                             s.store_region.end();
                  });
}

bool store_reachable(const state& s)
{
    return s.failed_rounds < failed_rounds_unreachable;
}

std::optional<milliseconds> confirmation_age(const state& s, time_point now)
{
    if (!s.effective)
        return std::nullopt;
    // Rounded up, so that an age relayed through several instances is never too
    // small.
    return std::chrono::ceil<milliseconds>(now - s.effective->as_of);
}

verdict evaluate(const state& s, time_point now)
{
    if (s.effective && is_within(s.effective->as_of, now, s.bounds.bound))
        return verdict::confirmed;
    const auto until = attested_until(s, now);
    return until && now <= *until ? verdict::outage_attested : verdict::stale;
}

std::optional<time_point> fresh_until(const state& s, time_point now)
{
    switch (evaluate(s, now))
    {
    case verdict::confirmed:
        return s.effective->as_of + s.bounds.bound;
    case verdict::outage_attested:
        return attested_until(s, now);
    case verdict::stale:
        break;
    }
    return std::nullopt;
}

peer_report make_report(const state& s, time_point now)
{
    return {s.held, confirmation_age(s, now), store_reachable(s)};
}

std::string explain_stale(const state& s, time_point now)
{
    if (evaluate(s, now) != verdict::stale)
        return {};
    if (!covers(s.held, s.highest_seen))
        return "a newer epoch than the one held is known";
    if (store_reachable(s))
        return "no confirmation within the bound, store not known to be down";
    if (!s.listed_at || !is_within(*s.listed_at, now, max_list_age(s)))
        return "instance list is missing or too old";
    if (!is_within(*s.round_started_at, now, s.bounds.bound))
        return "no recent attempt to reach the store";
    std::string text = "outage not attested by:";
    std::ranges::for_each(s.store_region,
                          [&](const instance_id& id)
                          {
                              if (!attests(s, id, now))
                                  text += " " + id.value;
                          });
    return text;
}

} // namespace parsleyplank::freshness
