#include <parsleyplank/core/log.hpp>
#include <parsleyplank/core/rendezvous.hpp>
#include <parsleyplank/edge/control_plane.hpp>
#include <parsleyplank/edge/usage_store.hpp>
#include <parsleyplank/store/store_era.hpp>

#include <algorithm>
#include <csignal>
#include <functional>
#include <iterator>
#include <log4cplus/loggingmacros.h>
#include <numeric>

namespace parsleyplank::edge
{

namespace
{

using udp = proxy::asio::ip::udp;
using message = telemetry::peer_message;

// Store keys that only instances use.
constexpr std::string_view member_prefix = "steer/members/";
constexpr std::string_view roster_prefix = "steer/roster/";
constexpr std::string_view rollout_record_prefix = "steer/rollouts/";

time_point now()
{
    return std::chrono::steady_clock::now();
}

std::int64_t wall_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Returns the rest of the key after the prefix, or nullopt if the key does not
// start with the prefix.
std::optional<std::string> after_prefix(const std::string& key,
                                        std::string_view prefix)
{
    if (!key.starts_with(prefix))
        return std::nullopt;
    return key.substr(prefix.size());
}

member_record describe_self(const settings& config)
{
    return {config.id,
            static_cast<std::uint64_t>(wall_ms()),
            config.callers.address,
            config.callers.port,
            config.peer_port,
            config.domain,
            config.region,
            config.link_mbps};
}

steering::fleet_member to_fleet_member(const member_record& record)
{
    return {record.id,
            record.domain,
            record.region,
            {record.address, static_cast<std::uint16_t>(record.peer_port + 1)}};
}

// Returns the size of the keys and values together.
std::size_t count_bytes(const store::list_result& listing)
{
    return std::transform_reduce(listing.entries.begin(), listing.entries.end(),
                                 std::size_t(0), std::plus(),
                                 [](const store::entry& it)
                                 { return it.key.size() + it.value.size(); });
}

} // namespace

control_options control_options_for(const fleet_bounds& bounds)
{
    // Time reserved within the drain bound to carry out a delayed removal.
    constexpr milliseconds reaction_time{400};
    // Two consecutive renewals may fail before the lease expires.
    constexpr int renewals_per_lease = 3;
    control_options options;
    options.fleet.contact_timeout = contact_timeout(bounds);
    options.lease_ttl = bounds.contact;
    options.lease_renewal_interval = bounds.contact / renewals_per_lease;
    options.roster.join_delay = bounds.contact + reaction_time;
    options.removal_hold =
        std::min(options.removal_hold,
                 std::max(milliseconds(0), bounds.drain - reaction_time));
    return options;
}

control_plane::control_plane(const settings& chosen, const adapter& adapted,
                             const store_factory& make_store,
                             traffic_plane& plane, telemetry::metrics& metrics,
                             control_options opts)
    : config(chosen), platform(adapted), traffic(plane), counters(metrics),
      options(opts), log(component_logger("control")), io(1),
      signals(
          [this](int number, time_point noticed)
          {
              proxy::asio::post(io, [this, number, noticed]
                                { handle_signal(number, noticed); });
          }),
      tick_timer(io), accept_timer(io), exit_timer(io), heartbeat_timer(io),
      removal_timer(io),
      peer_socket(io,
                  udp::endpoint(proxy::asio::ip::make_address(config.address),
                                config.peer_port)),
      self(describe_self(config)), relay(max_relayed_watches(config.link_mbps)),
      lease(std::make_shared<store::lease_id>())
{
    fleet.self = config.id;
    roster.self = config.id;
    roster.started_ms = self.started_ms;
    roster.started_at = now();
    roster.options = options.roster;
    options.feed.max_response_bytes = max_store_response_bytes(config);
    confirmation.pauses.max_gap = contact_timeout(config.bounds);
    relay_listener = std::make_unique<proxy::front_listener>(
        io, steering::server_endpoint{config.address, config.peer_port},
        peer_options(config),
        [this](const proxy::exchange_ptr& ex) { relay.serve(ex, now()); });
    const auto post = [this](auto call)
    {
        proxy::asio::post(io, std::move(call));
    };
    usage = make_usage_control();
    worker = std::make_unique<store_worker>(
        make_store(), [this, post](const std::string& problem)
        { post([this, problem] { note_store_failure(problem); }); });
    feed = std::make_unique<store_feed>(
        make_store(), platform.layout.watched_prefix, options.feed,
        feed_handlers{
            [this, post](store::list_result all)
            { post([this, all = std::move(all)] { apply_listing(all); }); },
            [this, post](store::list_result changes, const std::string& source)
            {
                post([this, changes = std::move(changes), source]
                     { apply_changes(changes, source); });
            },
            [this, post] { post([this] { note_store_response(); }); },
            [this, post](const std::string& problem)
            { post([this, problem] { note_store_failure(problem); }); },
            [this](const std::string& problem)
            {
                LOG4CPLUS_WARN(log,
                               "event=relay_lost detail=\"" << problem << '"');
            }});
}

std::unique_ptr<usage_control> control_plane::make_usage_control()
{
    if (!has_duty(config.usage, platform.usage_duty))
        return nullptr;
    return std::make_unique<usage_control>(
        config, platform, self.started_ms, options.lease_ttl,
        usage_links{[this](std::function<void()> call)
                    { proxy::asio::post(io, std::move(call)); },
                    [this](store_worker::job work)
                    { return worker->submit(std::move(work)); },
                    [this](const member_record& peer, const std::string& bytes)
                    { send_to(peer, bytes, telemetry::peer_message::usage); },
                    lease},
        counters);
}

usage_surroundings
control_plane::usage_view(const std::vector<const peer_state*>& live) const
{
    return {fleet, live, own_criteria(), drain.has_value()};
}

void control_plane::run()
{
    LOG4CPLUS_INFO(log,
                   "event=start instance="
                       << config.id.value << " domain=" << config.domain.value
                       << " region=" << config.region.value << " callers="
                       << config.callers.address << ":" << config.callers.port);
    receive_digests();
    renew_registration();
    heartbeat();
    tick();
    io.run();
    LOG4CPLUS_INFO(log, "event=stop instance=" << config.id.value);
}

void control_plane::note_store_response()
{
    last_store_response = now();
    if (!store_outage)
        return;
    store_outage = false;
    last_outage = now();
    LOG4CPLUS_INFO(log, "event=store_regained");
}

void control_plane::note_store_failure(const std::string& problem)
{
    if (!store_outage)
        LOG4CPLUS_WARN(log, "event=store_lost detail=\"" << problem << '"');
    store_outage = true;
    last_outage = now();
}

// Returns when a removal that the store reports now takes effect. During an
// outage of the store and shortly after it, removals are delayed: the leases of
// live servers may have expired because they could not renew them.
time_point control_plane::removal_time() const
{
    const auto at = now();
    const bool doubtful =
        store_outage || (last_outage != time_point{} &&
                         at - last_outage < options.outage_hold_period);
    return doubtful ? at + options.removal_hold : at;
}

void control_plane::note_revision(revision seen)
{
    newest_revision = std::max(newest_revision, seen);
    const auto missing =
        observe_lag(lag, applied_revision, newest_revision, now());
    if (missing >= options.max_watch_lag)
        catch_up(missing);
}

void control_plane::catch_up(milliseconds missing)
{
    const auto it =
        peer_ahead ? fleet.peers.find(*peer_ahead) : fleet.peers.end();
    if (is_store_watcher && it != fleet.peers.end())
        feed->catch_up({it->second.record.address, it->second.record.peer_port},
                       newest_revision);
    // The others get the changes from those that watch the store, and with less
    // data than a listing has.
    const auto patience =
        is_store_watcher ? milliseconds(0) : options.feed.peer_watch_wait;
    if (missing >= options.max_watch_lag + patience &&
        now() - last_relist >= options.revision_poll_interval)
        relist();
}

bool control_plane::store_reachable() const
{
    return last_store_response != time_point{} &&
           now() - last_store_response < options.store_contact_timeout;
}

relay_criteria control_plane::own_criteria() const
{
    return {self.region, store_reachable(), self.link_mbps,
            options.min_relay_fleet_size};
}

void control_plane::update_watch_source(
    const std::vector<const peer_state*>& live)
{
    const auto criteria = own_criteria();
    const auto relays = choose_relays(fleet, live, criteria);
    auto in_touch = criteria;
    in_touch.store_reachable = true;
    is_store_watcher = choose_relays(fleet, live, in_touch).empty();
    const bool is_large = live.size() + 1 >= options.min_relay_fleet_size;
    const auto preferred = relays.empty()
                               ? std::nullopt
                               : std::optional(relays.front()->record.id);
    if (std::exchange(preferred_relay, preferred) != preferred)
        LOG4CPLUS_INFO(log, "event=watch_source peer="
                                << (preferred ? preferred->value : "-")
                                << " live_peers=" << live.size());
    std::vector<steering::server_endpoint> endpoints;
    std::ranges::transform(relays, std::back_inserter(endpoints),
                           [](const peer_state* it)
                           {
                               return steering::server_endpoint{
                                   it->record.address, it->record.peer_port};
                           });
    feed->watch_peers(std::move(endpoints), is_large
                                                ? options.feed.shared_watch_wait
                                                : options.feed.watch_wait);
}

void control_plane::notify_store_watchers()
{
    if (!notice_due || now() - last_notice < options.notice_interval || drain)
        return;
    notice_due = false;
    last_notice = now();
    const auto watchers = find_store_watchers(
        fleet, live_peers(fleet, options.fleet, now()), own_criteria());
    if (watchers.empty())
        return;
    const auto bytes = pack_value(make_digest(last_report));
    std::ranges::for_each(watchers, [&](const peer_state* it)
                          { send_to(it->record, bytes, message::notice); });
}

void control_plane::poll_revision()
{
    if (now() - last_revision_poll < options.revision_poll_interval)
        return;
    last_revision_poll = now();
    worker->submit(
        [this, key = std::string(member_prefix) +
                     self.id.value](store::lease_store& store)
        {
            const auto seen = store.get(key).store_revision;
            proxy::asio::post(io, [this, seen] { note_revision(seen); });
        });
}

void control_plane::relist()
{
    last_relist = now();
    LOG4CPLUS_INFO(log, "event=watch_behind applied=" << applied_revision.value
                                                      << " newest="
                                                      << newest_revision.value);
    worker->submit(
        [this, pause = confirmation.pause_number](store::lease_store& store)
        {
            const auto confirm = [this, pause]
            {
                proxy::asio::post(io, [this, pause] { confirm_state(pause); });
            };
            try
            {
                auto all = store.list(platform.layout.watched_prefix);
                proxy::asio::post(io,
                                  [this, all = std::move(all)]
                                  {
                                      note_store_response();
                                      apply_listing(all);
                                  });
                confirm();
            }
            catch (const error&)
            {
                confirm();
                throw;
            }
        });
}

void control_plane::heartbeat()
{
    note_control_run();
    report_sent();
    heartbeat_timer.expires_after(options.heartbeat_interval);
    heartbeat_timer.async_wait(
        [this](const proxy::error_code& ec)
        {
            if (!ec)
                heartbeat();
        });
}

void control_plane::note_control_run()
{
    const auto at = boot_now();
    const bool was_confirmed = is_confirmed(confirmation);
    const auto pause = observe_control(confirmation, at);
    if (pause)
    {
        LOG4CPLUS_WARN(log, "event=paused ms=" << pause->count());
        // What was heard before the pause is no evidence that it holds.
        last_store_response = {};
        relist();
    }
    // The snapshot goes first: the traffic thread uses its state as soon as it
    // sees that the control thread runs.
    if (was_confirmed != is_confirmed(confirmation))
        publish();
    traffic.note_control_run(at);
}

void control_plane::confirm_state(std::uint64_t pause_number)
{
    if (is_confirmed(confirmation))
        return;
    confirm(confirmation, pause_number);
    if (!is_confirmed(confirmation))
        return;
    LOG4CPLUS_INFO(log, "event=state_confirmed");
    publish();
}

void control_plane::apply_listing(const store::list_result& all)
{
    if (all.store_revision < applied_revision)
        return;
    const bool first_of_era = is_restored(all.store_revision, applied_revision);
    if (first_of_era)
        begin_restore(all.store_revision);
    applied_revision = all.store_revision;
    note_revision(applied_revision);
    relay.apply_listing(all);
    std::set<std::string> present;
    servers.ignores_departed = restored.hold_until != time_point{};
    for (const auto& it : all.entries)
    {
        present.insert(it.key);
        apply_entry(it);
    }
    servers.ignores_departed = false;
    std::vector<backend_server_id> missing;
    for (const auto& [id, server] : servers.servers)
        if (!present.contains(platform.layout.server_prefix + id.value))
            missing.push_back(id);
    const auto when = removal_time();
    for (const auto& id : missing)
        steering::remove_server(servers, id, when, now());
    for (const auto& [id, peer] : fleet.peers)
        if (!present.contains(std::string(member_prefix) + id.value))
            remove_member(fleet, id);
    std::set<instance_id> listed_members;
    for (const auto& key : present)
        if (const auto id = after_prefix(key, roster_prefix))
            listed_members.insert(instance_id(*id));
    if (first_of_era)
        restore_roster_members(roster, listed_members);
    else
        retain_roster_members(roster, listed_members);
    remove_missing_orders(present);
    if (usage)
        usage->apply_listing(present.contains(usage_holder_key()),
                             all.store_revision);
    LOG4CPLUS_INFO(log, "event=listed keys=" << all.entries.size() << " bytes="
                                             << count_bytes(all) << " revision="
                                             << all.store_revision.value);
    schedule_removals();
    update_roster();
    publish();
}

void control_plane::remove_missing_orders(const std::set<std::string>& present)
{
    std::vector<std::string> keys;
    for (const auto& id : evacuated)
        keys.push_back(platform.layout.evacuation_prefix + id.value);
    for (const auto& [id, rollout] : rollouts)
        if (rollout.order)
            keys.push_back(platform.layout.rollout_prefix + id.value);
    for (const auto& key : keys)
        if (!present.contains(key) && !hold_order(restored, key, now()))
            apply_removal(key);
}

void control_plane::begin_restore(revision listed)
{
    LOG4CPLUS_WARN(log, "event=store_restored era="
                            << store::era_of(listed) << " revision="
                            << store::number_in_era(listed) << " before="
                            << store::number_in_era(applied_revision));
    begin_hold(restored, now());
    // Servers that the copy lacks are kept as after an outage.
    last_outage = now();
    note_restored_store(rollouts);
    if (usage)
        usage->note_restored_store();
    restore_registration();
}

void control_plane::apply_changes(const store::list_result& changes,
                                  const std::string& source)
{
    // A listing may already include newer changes than this watch.
    if (changes.store_revision < applied_revision)
        return;
    applied_revision = changes.store_revision;
    note_revision(applied_revision);
    const auto is_removed_server = [&](const store::entry& it)
    {
        return it.key_revision == revision(0) &&
               it.key.starts_with(platform.layout.server_prefix);
    };
    const auto when = removal_time();
    std::set<std::string> changed;
    std::set<std::string> repeated;
    for (const auto& it : changes.entries)
    {
        if (is_removed_server(it))
        {
            const backend_server_id id(
                *after_prefix(it.key, platform.layout.server_prefix));
            LOG4CPLUS_INFO(log, "event=server_removed server="
                                    << id.value << " held=" << (when > now()));
            steering::remove_server(servers, id, when, now());
        }
        else if (it.key_revision == revision(0))
            apply_removal(it.key);
        else if (apply_entry(it))
        {
            repeated.insert(it.key);
            continue;
        }
        changed.insert(it.key);
    }
    // A batch may hold several changes of a key.
    std::erase_if(repeated, [&](const std::string& key)
                  { return changed.contains(key); });
    pass_on(changes, source, repeated);
    if (changed.empty())
        return;
    if (source == "store")
    {
        notice_due = true;
        notify_store_watchers();
    }
    schedule_removals();
    publish();
}

void control_plane::pass_on(const store::list_result& changes,
                            const std::string& source,
                            const std::set<std::string>& repeated)
{
    const auto relayed = relay.apply_changes(changes, repeated);
    if (changes.entries.size() > repeated.size())
        LOG4CPLUS_INFO(log, "event=changes_received source="
                                << source
                                << " revision=" << changes.store_revision.value
                                << " entries=" << changes.entries.size()
                                << " repeated=" << repeated.size()
                                << " relayed_to=" << relayed.watches
                                << " relayed_bytes=" << relayed.bytes);
    if (now() - last_revision_passed < options.revision_answer_interval)
        return;
    last_revision_passed = now();
    relay.pass_revision_on();
}

// Schedules the next delayed removal of a server.
void control_plane::schedule_removals()
{
    if (servers.pending_removals.empty())
        return;
    const auto next =
        std::ranges::min_element(servers.pending_removals, {},
                                 [](const auto& it) { return it.second; })
            ->second;
    removal_timer.expires_at(next);
    removal_timer.async_wait(
        [this](const proxy::error_code& ec)
        {
            if (ec || !steering::apply_due_removals(servers, now()))
                return;
            publish();
            schedule_removals();
        });
}

void control_plane::note_unknown_value(const std::string& detail)
{
    counters.count_unknown_value();
    LOG4CPLUS_WARN(log, "event=unknown_value detail=\"" << detail << '"');
}

bool control_plane::apply_entry(const store::entry& it)
{
    const auto& layout = platform.layout;
    release_order(restored, it.key);
    try
    {
        if (it.key == layout.configuration_key)
            apply_configuration(it);
        else if (it.key.starts_with(layout.server_prefix))
            return apply_server(it);
        else if (it.key.starts_with(layout.rollout_prefix))
        {
            const auto order =
                platform.decode_rollout(it.value, it.key_revision);
            LOG4CPLUS_INFO(log, "event=rollout_ordered service="
                                    << order.service.value << " target="
                                    << order.target.value << " duration_ms="
                                    << order.duration.count());
            apply_order(rollouts, order, now());
        }
        else if (const auto domain =
                     after_prefix(it.key, layout.evacuation_prefix))
        {
            LOG4CPLUS_INFO(log, "event=evacuation_ordered domain=" << *domain);
            evacuated.insert(failure_domain_id(*domain));
        }
        else if (it.key.starts_with(member_prefix))
            apply_member(unpack_value<member_record>(it.value, it.key));
        else if (const auto id = after_prefix(it.key, roster_prefix))
            put_roster_member(roster, instance_id(*id),
                              unpack_value<roster_record>(it.value, it.key),
                              it.key_revision, now());
        else if (it.key.starts_with(usage_prefix) && usage)
            usage->apply_entry(it);
        else if (const auto service =
                     after_prefix(it.key, rollout_record_prefix))
        {
            const auto record = unpack_value<rollout_record>(it.value, it.key);
            LOG4CPLUS_INFO(log, "event=rollout_recorded service="
                                    << *service
                                    << " target=" << record.target.value
                                    << " phase=" << to_string(record.phase));
            apply_record(rollouts, service_id(*service), record,
                         it.key_revision);
        }
    }
    // Any client of the store may have written the entry.
    catch (const std::exception& ec)
    {
        note_unknown_value("record of key " + it.key +
                           " skipped: " + ec.what());
        // An unreadable record names no server to use, so an earlier one of
        // the same id does not hold either.
        if (const auto id = after_prefix(it.key, layout.server_prefix))
            steering::remove_server(servers, backend_server_id(*id), now(),
                                    now());
    }
    return false;
}

void control_plane::apply_member(const member_record& record)
{
    check_member(record);
    // From now on the peers take this instance's digests. Until they have heard
    // of each other, all instances of a large fleet watch the store.
    if (record == self && !std::exchange(registration_seen, true))
        last_digest = {};
    if (put_member(fleet, record, now()))
        new_peers.insert(record.id);
}

void control_plane::apply_removal(const std::string& key)
{
    const auto& layout = platform.layout;
    release_order(restored, key);
    if (const auto domain = after_prefix(key, layout.evacuation_prefix))
    {
        LOG4CPLUS_INFO(log, "event=evacuation_ended domain=" << *domain);
        evacuated.erase(failure_domain_id(*domain));
        evacuation_ended_at[failure_domain_id(*domain)] = now();
    }
    else if (const auto service = after_prefix(key, layout.rollout_prefix))
        remove_order(rollouts, service_id(*service));
    else if (const auto id = after_prefix(key, member_prefix))
    {
        remove_member(fleet, instance_id(*id));
        if (instance_id(*id) == self.id)
            restore_registration();
    }
    else if (const auto id = after_prefix(key, roster_prefix))
        remove_roster_member(roster, instance_id(*id));
    else if (key.starts_with(usage_prefix) && usage)
        usage->apply_removal(key, applied_revision);
}

void control_plane::apply_configuration(const store::entry& it)
{
    auto next = std::make_shared<const steering::traffic_config>(
        platform.decode_configuration(it.value));
    if (routing && next->version <= routing->config->version)
    {
        LOG4CPLUS_WARN(log, "event=configuration_ignored version="
                                << next->version.value << " in_force="
                                << routing->config->version.value);
        return;
    }
    routing = std::make_shared<const steering::routing_table>(
        steering::make_routing_table(next));
    LOG4CPLUS_INFO(log, "event=configuration_adopted version="
                            << next->version.value
                            << " routes=" << next->routes.size()
                            << " customers=" << next->customers.size());
    for (const auto& it : next->unknown_values)
        note_unknown_value(it);
}

bool control_plane::apply_server(const store::entry& it)
{
    const backend_server_id id(
        it.key.substr(platform.layout.server_prefix.size()));
    auto server = platform.decode_server(id, it.value, config.regions, now());
    const bool draining = server.draining;
    const bool cold = server.cold_until > now();
    // Peers must learn that a delayed removal is cancelled.
    const bool was_removed = servers.pending_removals.contains(id);
    if (!steering::put_server(servers, std::move(server), now()))
        return !was_removed;
    LOG4CPLUS_INFO(log, "event=server_changed server="
                            << id.value << " draining=" << draining
                            << " cold=" << cold);
    return false;
}

void control_plane::renew_registration()
{
    if (drain || now() - last_renewal < options.lease_renewal_interval)
        return;
    last_renewal = now();
    worker->submit(
        [this, held = lease, record = self](store::lease_store& store)
        {
            const auto key = std::string(member_prefix) + record.id.value;
            const auto began = boot_now();
            if (*held != store::lease_id(0) && store.renew_lease(*held))
            {
                proxy::asio::post(io, [this, began]
                                  { note_renewal(began, false); });
                return;
            }
            *held = store::lease_id(0);
            const auto fresh = store.grant_lease(options.lease_ttl);
            const auto outcome =
                store.commit({{}, {{key, pack_value(record), fresh}}, {}});
            if (outcome == store::commit_outcome::applied)
                *held = fresh;
            proxy::asio::post(io, [this, began] { note_renewal(began, true); });
        });
}

void control_plane::note_renewal(boot_time began, bool new_lease)
{
    note_store_response();
    if (usage)
        usage->note_renewal(began, new_lease);
}

void control_plane::deregister()
{
    // Ends the lease rather than removing the key: if the call takes effect
    // late, it must not remove the registration of the next process.
    worker->submit(
        [held = lease](store::lease_store& store)
        {
            if (*held != store::lease_id(0))
                store.end_lease(std::exchange(*held, store::lease_id(0)));
        });
}

store_contact control_plane::contact_with_store() const
{
    return {store_reachable(), last_store_response, last_outage};
}

void control_plane::update_roster()
{
    const auto at = now();
    step_roster(roster, fleet, options.fleet, contact_with_store(), at);
    log_roster();
    if (drain)
        return;
    // A part that an earlier process of this instance had needs no wait: all
    // others have set it aside.
    if (const auto write = next_roster_write(roster);
        write && !roster_write_pending &&
        (write->takes_over || write->restores ||
         (registration_seen && store_reachable())))
        write_roster(*write);
    if (!store_reachable())
        return;
    for (const auto& id : expired_members(roster, at))
        remove_from_roster(id);
}

void control_plane::log_roster()
{
    const bool issuing = may_issue(roster, contact_with_store(), now());
    const std::pair state{issuing, roster.missing.size()};
    if (std::exchange(reported_roster, state) == state)
        return;
    LOG4CPLUS_INFO(log, "event=roster issuing="
                            << issuing << " members=" << roster.members.size()
                            << " missing=" << roster.missing.size());
}

void control_plane::write_roster(const roster_write& write)
{
    roster_write_pending = true;
    const auto key = std::string(roster_prefix) + self.id.value;
    const auto value = pack_value(roster_record{self.started_ms});
    const bool queued = worker->submit(
        [this, write, key, value](store::lease_store& store)
        {
            const auto end = [this, write](bool applied)
            {
                proxy::asio::post(io,
                                  [this, write, applied]
                                  {
                                      roster_write_pending = false;
                                      if (!applied)
                                          return;
                                      note_roster_write(roster, write, now());
                                      log_roster();
                                      publish();
                                  });
            };
            try
            {
                const auto outcome =
                    store.commit({{{key, write.expected}},
                                  {{key, value, store::lease_id(0)}},
                                  {}});
                end(outcome == store::commit_outcome::applied);
            }
            catch (const error&)
            {
                end(false);
                throw;
            }
        });
    roster_write_pending = queued;
}

void control_plane::remove_from_roster(const instance_id& id)
{
    const auto it = roster.members.find(id);
    if (it == roster.members.end())
        return;
    LOG4CPLUS_INFO(log, "event=roster_removal instance=" << id.value);
    // A restored store has no record of it.
    if (it->second.key_revision == revision(0))
    {
        remove_roster_member(roster, id);
        return;
    }
    const auto key = std::string(roster_prefix) + id.value;
    worker->submit(
        [key, expected = it->second.key_revision](store::lease_store& store) {
            store.commit({{{key, expected}}, {}, {key}});
        });
}

void control_plane::leave_roster()
{
    LOG4CPLUS_INFO(log, "event=roster_removal instance=" << self.id.value);
    // Reads the record first: a write that is under way, or whose answer was
    // lost, gives it a revision that this thread doesn't know. Jobs run in
    // order, so such a write has ended by then.
    worker->submit(
        [key = std::string(roster_prefix) + self.id.value,
         started_ms = self.started_ms](store::lease_store& store)
        {
            const auto own = store.get(key).found;
            // The next process of this instance may have written its own.
            if (own &&
                unpack_value<roster_record>(own->value, key).started_ms <=
                    started_ms)
                store.commit({{{key, own->key_revision}}, {}, {key}});
        });
}

void control_plane::restore_registration()
{
    if (drain)
        return;
    LOG4CPLUS_WARN(log, "event=registration_lost");
    worker->submit([held = lease](store::lease_store& /*store*/)
                   { *held = store::lease_id(0); });
    last_renewal = {};
    renew_registration();
}

void control_plane::receive_digests()
{
    peer_socket.async_receive_from(
        proxy::asio::buffer(datagram), sender,
        [this](const proxy::error_code& ec, std::size_t n)
        {
            // Errors are ignored: they report that an earlier datagram was sent
            // to a peer that is down.
            if (!ec)
                handle_datagram(n);
            receive_digests();
        });
}

void control_plane::handle_datagram(std::size_t n)
{
    try
    {
        if (is_usage_message({datagram.data(), n}))
        {
            if (usage)
                usage->receive(
                    {datagram.data(), n},
                    usage_view(live_peers(fleet, options.fleet, now())));
            return;
        }
        const auto digest = unpack_value<member_digest>(
            {datagram.data(), n}, sender.address().to_string());
        const auto known = fleet.peers.find(digest.id);
        const bool was_leaving =
            known != fleet.peers.end() && known->second.digest.leaving;
        if (!apply_digest(fleet, digest, now()))
            return;
        if (digest.store_revision >= newest_revision)
            peer_ahead = digest.id;
        note_revision(digest.store_revision);
        for (const auto& it : digest.rollouts)
            if (it.fault)
                apply_peer_fault(rollouts, it.service, it.target,
                                 digest.id.value);
        if (digest.leaving && !was_leaving)
            publish_soon();
    }
    catch (const codec_error& ec)
    {
        LOG4CPLUS_WARN(log,
                       "event=datagram_ignored detail=\"" << ec.what() << '"');
    }
}

member_digest control_plane::make_digest(const traffic_report& report)
{
    member_digest digest{self.id,
                         self.started_ms,
                         ++digest_sequence_number,
                         drain.has_value(),
                         store_reachable(),
                         applied_revision,
                         {},
                         {},
                         make_limit_reports(report.limits, now()),
                         make_admission_reports(report.admission)};
    for (const auto& [service, rollout] : rollouts)
    {
        if (!rollout.order)
            continue;
        const auto it = report.tallies.find({service, rollout.order->target});
        if (it != report.tallies.end() || rollout.fault)
            digest.rollouts.push_back({service, rollout.order->target,
                                       it == report.tallies.end()
                                           ? steering::rollout_tally()
                                           : it->second,
                                       rollout.fault.has_value()});
    }
    return digest;
}

void control_plane::send_digests(const traffic_report& report)
{
    const auto bytes = pack_value(make_digest(report));
    for (const auto& [id, peer] : fleet.peers)
        send_to(peer.record, bytes, message::digest);
    new_peers.clear();
}

void control_plane::greet_new_peers()
{
    // Until this instance is registered, the others don't know it.
    if (new_peers.empty() || !registration_seen || drain)
        return;
    const auto bytes = pack_value(make_digest(last_report));
    for (const auto& id : std::exchange(new_peers, {}))
        if (const auto it = fleet.peers.find(id); it != fleet.peers.end())
            send_to(it->second.record, bytes, message::greeting);
}

void control_plane::send_to(const member_record& peer, const std::string& bytes,
                            telemetry::peer_message kind)
{
    proxy::error_code ec;
    const auto address = proxy::asio::ip::make_address(peer.address, ec);
    if (!ec)
        peer_socket.send_to(proxy::asio::buffer(bytes),
                            {address, peer.peer_port}, 0, ec);
    counters.count_sent(kind, 1, bytes.size());
}

void control_plane::report_sent()
{
    const auto total = relay.answered();
    counters.count_sent(message::relayed_changes,
                        total.watches - reported_relayed.watches,
                        total.bytes - reported_relayed.bytes);
    reported_relayed = total;
    if (now() - last_sent_log < options.sent_log_interval)
        return;
    last_sent_log = now();
    LOG4CPLUS_INFO(log, "event=sent_to_peers " << counters.describe_sent());
}

milliseconds control_plane::current_digest_interval() const
{
    const auto slowed = std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double>(static_cast<double>(fleet.peers.size()) /
                                      options.max_digests_per_s));
    return std::max(options.tick_interval, slowed);
}

void control_plane::tick()
{
    traffic.collect(
        [this](const traffic_report& report)
        { proxy::asio::post(io, [this, report] { process_report(report); }); });
    tick_timer.expires_after(options.tick_interval);
    tick_timer.async_wait(
        [this](const proxy::error_code& ec)
        {
            if (!ec)
                tick();
        });
}

tally_table control_plane::fleet_tallies(const traffic_report& report) const
{
    auto sum = report.tallies;
    for (const auto& [id, peer] : fleet.peers)
        for (const auto& it : peer.digest.rollouts)
        {
            auto& tally = sum[{it.service, it.target}];
            tally = tally + it.tally;
        }
    return sum;
}

void control_plane::process_report(const traffic_report& report)
{
    options.fleet.digest_interval = current_digest_interval();
    for (const auto& it : report.level_changes)
        LOG4CPLUS_INFO(log, "event=admission_level" << it);
    reload_if_changed();
    renew_registration();
    remove_expired_peers(fleet, options.fleet, now());
    update_roster();
    std::ranges::for_each(expired_orders(restored, now()),
                          [this](const std::string& key)
                          { apply_removal(key); });
    relay.expire_watches(now());
    relay.pass_revision_on();
    const auto live = live_peers(fleet, options.fleet, now());
    update_watch_source(live);
    notify_store_watchers();
    if (usage)
        usage->step(usage_view(live), report.usage_changes);
    std::vector<instance_id> ids{self.id};
    for (const auto* peer : live)
        ids.push_back(peer->record.id);
    // Only instances that reach the store can read its revision.
    std::vector<instance_id> store_connected;
    if (store_reachable())
        store_connected.push_back(self.id);
    for (const auto* peer : live)
        if (peer->digest.store_reachable)
            store_connected.push_back(peer->record.id);
    const auto* poller = rendezvous_first(
        "store revision", store_connected.empty() ? ids : store_connected);
    if (poller != nullptr && *poller == self.id)
        poll_revision();
    note_revision(newest_revision);
    std::map<service_id, std::size_t> rank;
    for (const auto& [service, rollout] : rollouts)
    {
        const auto order = rendezvous_order(service.value, ids);
        rank[service] = static_cast<std::size_t>(
            std::ranges::find(order, self.id) - order.begin());
    }
    std::map<service_id, bool> had_fault;
    for (const auto& [service, rollout] : rollouts)
        had_fault[service] = rollout.fault.has_value();
    const auto writes = step_rollouts(rollouts, fleet_tallies(report), rank,
                                      options.rollouts, now(), wall_ms());
    for (const auto& [service, rollout] : rollouts)
        if (rollout.fault && !had_fault[service])
            LOG4CPLUS_WARN(log, "event=rollout_braked service="
                                    << service.value << " detail=\""
                                    << *rollout.fault << '"');
    std::ranges::for_each(writes, [this](const rollout_write& it)
                          { write_rollout(it); });
    exchange_state(report);
}

void control_plane::exchange_state(const traffic_report& report)
{
    // The tick that is nearest to the interval sends the digest, also if it
    // comes a little early.
    const auto due =
        last_digest + options.fleet.digest_interval - options.tick_interval / 2;
    if (now() < due)
    {
        greet_new_peers();
        return;
    }
    last_digest = now();
    last_report = report;
    send_digests(report);
    publish();
}

void control_plane::write_rollout(const rollout_write& write)
{
    const auto key = std::string(rollout_record_prefix) + write.service.value;
    store::transaction changes{
        {{key, write.expected_revision}},
        {{key, pack_value(write.next), store::lease_id(0)},
         {platform.layout.rollout_status_prefix + write.service.value,
          platform.encode_rollout_status(write.order, write.next.phase),
          store::lease_id(0)}},
        {}};
    LOG4CPLUS_INFO(log, "event=rollout_write service="
                            << write.service.value
                            << " target=" << write.order.target.value
                            << " phase=" << to_string(write.next.phase));
    worker->submit([changes = std::move(changes)](store::lease_store& store)
                   { store.commit(changes); });
}

void control_plane::publish_soon()
{
    if (std::exchange(publish_pending, true))
        return;
    proxy::asio::post(io,
                      [this]
                      {
                          publish_pending = false;
                          publish();
                      });
}

void control_plane::update_servers(steering_snapshot& next)
{
    std::map<service_id, std::set<version_id>> versions;
    for (const auto& [id, server] : servers.servers)
    {
        versions[server->service].insert(server->version);
        if (server->draining || evacuated.contains(server->domain))
            continue;
        auto it = server;
        const auto returned = evacuation_ended_at.find(server->domain);
        if (returned != evacuation_ended_at.end() && routing)
        {
            const auto service = routing->services.find(server->service);
            const auto until = service == routing->services.end()
                                   ? time_point{}
                                   : returned->second + service->second->warmup;
            if (until > it->cold_until)
            {
                auto cold = *server;
                cold.cold_until = until;
                it = std::make_shared<const steering::backend_server>(
                    std::move(cold));
            }
        }
        next.servers[server->service].push_back(std::move(it));
    }
    for (const auto& [service, rollout] : rollouts)
        next.versions[service] = policy_of(rollout, versions[service]);
}

void control_plane::add_rates(steering_snapshot& next) const
{
    const bool issuing =
        !drain && may_issue(roster, contact_with_store(), now());
    next.rates = {count_issuers(roster), 0, issuing, roster.issuing_since};
    const auto add = [&](const member_record& it)
    {
        next.token_peers.push_back(to_fleet_member(it));
        if (it.region == self.region)
            ++next.rates.issuers_in_touch;
    };
    if (!drain)
        add(self);
    for (const auto* peer : peers_in_touch(fleet, options.fleet, now()))
        add(peer->record);
}

void control_plane::publish()
{
    auto next = std::make_shared<steering_snapshot>();
    next->routing = routing;
    next->confirmed = is_confirmed(confirmation);
    next->last_store_contact = last_store_response;
    next->draining = drain.has_value();
    if (drain)
    {
        next->late_from = drain->late_from;
        next->stop_at = drain->stop_at;
    }
    const auto add = [&](const member_record& it)
    {
        next->members.push_back(to_fleet_member(it));
        next->instances.push_back(
            {it.id, {it.address, it.caller_port}, it.domain, it.region});
    };
    if (!drain)
        add(self);
    for (const auto* peer : live_peers(fleet, options.fleet, now()))
        add(peer->record);
    next->registered = count_registered(fleet);
    if (!drain)
        ++next->registered[self.region];
    update_servers(*next);
    add_rates(*next);
    add_limits(*next, fleet, options.fleet, now());
    add_admission(*next, fleet, self.region, options.fleet, now());
    traffic.publish(std::move(next));
}

void control_plane::begin_drain(time_point signalled)
{
    if (drain)
        return;
    drain = plan_drain(signalled, config.bounds.grace, options.drain);
    const auto ms = [](time_point from, time_point to)
    {
        return std::chrono::duration_cast<milliseconds>(to - from).count();
    };
    LOG4CPLUS_INFO(log, "event=drain instance="
                            << config.id.value
                            << " handled_after_ms=" << ms(signalled, now())
                            << " exit_in_ms=" << ms(now(), drain->stop_at));
    schedule_stop();
    publish();
    if (usage)
        usage->leave();
    deregister();
    // The traffic thread has stopped issuing when the snapshot is adopted,
    // which takes less time than the others need to learn of the removal.
    leave_roster();
    send_digests(last_report);
}

void control_plane::schedule_stop()
{
    const auto at = [](proxy::asio::steady_timer& timer, time_point when,
                       std::function<void()> action)
    {
        timer.expires_at(when);
        timer.async_wait(
            [action = std::move(action)](const proxy::error_code& ec)
            {
                if (!ec)
                    action();
            });
    };
    at(accept_timer, drain->accept_until,
       [this]
       {
           traffic.stop_accepting(
               [this]
               { proxy::asio::post(io, [this] { end_run("drained"); }); });
       });
    at(exit_timer, drain->stop_at, [this] { end_run("drain_timed_out"); });
}

void control_plane::end_run(std::string_view event)
{
    if (std::exchange(ending, true))
        return;
    const auto age =
        std::chrono::duration_cast<milliseconds>(now() - drain->signalled);
    LOG4CPLUS_INFO(log, "event=" << event << " ms=" << age.count());
    const auto stop = [this]
    {
        io.stop();
    };
    traffic.close_callers([this, stop] { proxy::asio::post(io, stop); });
    // The traffic thread may hang, and the process must end by itself.
    exit_timer.expires_after(options.close_wait);
    exit_timer.async_wait([stop](const proxy::error_code& /*ec*/) { stop(); });
}

void control_plane::watch_settings(std::filesystem::path file,
                                   std::function<void()> reload)
{
    settings_path = std::move(file);
    reload_settings = std::move(reload);
    std::error_code ec;
    settings_modified_at = std::filesystem::last_write_time(settings_path, ec);
}

void control_plane::reload_if_changed()
{
    if (!reload_settings)
        return;
    std::error_code ec;
    const auto written = std::filesystem::last_write_time(settings_path, ec);
    // The file may be missing while it is being replaced; the next check
    // detects the change.
    if (ec || written == settings_modified_at)
        return;
    settings_modified_at = written;
    reload_settings();
}

void control_plane::handle_signal(int number, time_point noticed)
{
    if (number != SIGHUP)
        begin_drain(noticed);
    else if (reload_settings)
        reload_settings();
}

} // namespace parsleyplank::edge
