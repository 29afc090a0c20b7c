#include <parsleyplank/core/log.hpp>
#include <parsleyplank/entry/caller_handler.hpp>
#include <parsleyplank/entry/drain_end.hpp>
#include <parsleyplank/entry/lookup_instances.hpp>
#include <parsleyplank/entry/node.hpp>
#include <parsleyplank/entry/status_report.hpp>
#include <parsleyplank/store/http_instance_list.hpp>
#include <parsleyplank/store/http_kv_store.hpp>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace parsleyplank::entry
{

namespace
{

constexpr milliseconds peer_interval{200};
constexpr milliseconds claim_interval{10};
constexpr milliseconds second{1'000};
constexpr std::size_t max_store_jobs = 1'000;
constexpr int store_threads = 4;
// Added to the time to live of look-up answers before a drain goes on, for
// callers that fetched theirs just before.
constexpr milliseconds drain_margin{1'000};
// Longest wait for requests to end and the share to be handed over.
// Loans of slots, which last 15 s, have to end before the share can be handed
// over.
constexpr milliseconds finish_limit{20'000};
// Wait for requests that came just before new ones were refused. Those whose
// deadlines are later are waited for as well.
constexpr milliseconds closing_limit{5'000};
// Longest wait for callers to receive their responses before the process exits.
constexpr milliseconds receive_limit{30'000};
// The same for callers of the admin port.
constexpr milliseconds admin_receive_limit{1'000};

store::http_settings http_settings_for(const settings& s, const endpoint& to)
{
    store::http_settings http;
    http.address = to.address;
    http.port = to.port;
    http.call_timeout = s.store_timeout;
    return http;
}

store_factory make_store_factory(const settings& s)
{
    return [http = http_settings_for(s, s.store)]
    {
        return std::make_unique<store::http_kv_store>(http);
    };
}

dataplane::outbound_response json_response(int status, std::string body)
{
    return {status, {{"content-type", "application/json"}}, std::move(body)};
}

log4cplus::Logger node_log()
{
    return component_logger("node");
}

} // namespace

node::node(const settings& s)
    : config(s), loop(time), decisions(s.decision_log_size)
{
    const auto factory = make_store_factory(config);
    peers = std::make_unique<peer::nng_transport>(
        peer::nng_settings{
            config.id, config.life, {config.address, config.peer_port}},
        [this](const peer::envelope& message)
        { loop.post([this, message] { handle_message(message); }); });
    round_jobs = std::make_unique<store_pool>(1, 1, factory);
    store_jobs =
        std::make_unique<store_pool>(store_threads, max_store_jobs, factory);
    context = std::make_unique<node_context>(node_context{
        config, time, loop, *round_jobs, *store_jobs, *peers, counters,
        snapshot, std::mt19937_64(hash64(config.id.value, config.life.value))});
    backends = std::make_unique<dataplane::backend_client>(
        dataplane::client_options{config.connections_per_upstream});
    flow = std::make_unique<request_flow>(request_flow{
        contact, quota, claims, upstreams, rollouts, *backends, decisions});
    connect_parts();
    start_timers();
    watch = std::make_unique<state_watch>(feed, *context, factory);

    dataplane::front_options options;
    options.address = config.address;
    options.port = config.admin_port;
    options.threads = 1;
    admin_front = std::make_unique<dataplane::http_front>(
        options,
        [this](const dataplane::inbound_request& in,
               const dataplane::responder& out) { handle_admin(in, out); });
    options.port = config.caller_port;
    options.threads = config.caller_threads;
    options.max_body_memory = config.max_body_memory_bytes;
    caller_front = std::make_unique<dataplane::http_front>(
        options,
        [this](dataplane::inbound_request in, const dataplane::responder& out)
        { handle_caller(std::move(in), out); });
    // Last, because a port that can't be bound must not leave a thread behind.
    list_thread = std::thread([this] { poll_list(); });
    LOG4CPLUS_INFO(node_log(), "Instance " << config.id.value << " incarnation "
                                           << config.life.value << " in "
                                           << config.region.value << " is up.");
}

node::~node()
{
    stopping = true;
    caller_front.reset();
    admin_front.reset();
    if (list_thread.joinable())
        list_thread.join();
    watch.reset();
    backends.reset();
    store_jobs.reset();
    round_jobs.reset();
    peers.reset();
}

void node::connect_parts()
{
    const auto now = loop.now();
    contact.members.self = config.id;
    contact.on_epochs =
        [this](const instance_id& peer, const freshness::known_epochs& epochs)
    {
        note_peer_epochs(feed, peer, epochs);
    };
    feed.on_config = [this]
    {
        adopt_config();
    };
    feed.on_shares = [this]
    {
        take_table(quota, *context, feed);
        freshness::record_held_epochs(contact.fresh, held_epochs(feed));
    };
    feed.on_other = [this](const store::entry& entry)
    {
        if (entry.key.starts_with(rollout_prefix))
            take_entry(rollouts, *context, entry);
    };
    quota.state = quota::make_quota_state({config.id, config.life}, {}, now);
    quota.on_ready = [this](const customer_id& customer)
    {
        decide_waiting(*flow, *context, customer);
    };
    claims.writer = claims::make_writer({});
    claims.attempts.self = config.id;
    claims.attempts.life = config.life;
    claims.on_event = [this](const claims::attempt_event& event)
    {
        take_event(*flow, *context, event);
    };
}

void node::start_timers()
{
    loop.call_every(peer_interval,
                    [this]
                    {
                        tick(contact, *context);
                        refresh_members();
                        fetch_missing(feed, *context);
                        fetch_revision(quota, *context, contact, feed);
                        tick(quota, *context, contact);
                        tick(upstreams.slots, *context, contact);
                        run_round(rounds, contact, feed, *context);
                        publish_snapshot();
                    });
    loop.call_every(claim_interval,
                    [this]
                    {
                        tick(claims, *context);
                        tick(*flow, *context);
                    });
    loop.call_every(second,
                    [this]
                    {
                        quota.slots_donatable = donatable(upstreams.slots);
                        maintain_shares(quota, *context, contact, feed);
                        // Debits the slots of a donation that was just begun.
                        refresh_members();
                        step_weights(upstreams, *context);
                        tick(rollouts, *context, contact);
                        watch->enable(designated(contact, *context));
                        update_gauges();
                        step_drain();
                    });
}

void node::handle_message(const peer::envelope& message)
{
    using peer::message_kind;
    const auto& from = message.from;
    const auto& body = message.body;
    switch (message.kind)
    {
    case message_kind::ping:
        answer_ping(contact, *context, from,
                    unpack_value<ping>(body, from.value));
        break;
    case message_kind::pong:
        take_pong(contact, *context, from, message.life,
                  unpack_value<pong>(body, from.value));
        break;
    case message_kind::config_request:
        answer_request(feed, *context, from,
                       unpack_value<config_request>(body, from.value));
        break;
    case message_kind::config_reply:
        take_reply(feed, *context,
                   unpack_value<config_reply>(body, from.value));
        break;
    case message_kind::demand:
    case message_kind::loan_request:
    case message_kind::loan_grant:
    case message_kind::loan_return:
        take_message(quota, *context, message);
        break;
    case message_kind::claim_batch:
        take_batch(claims, *context, from,
                   unpack_value<claims::claim_batch>(body, from.value));
        break;
    case message_kind::slot_request:
    case message_kind::slot_grant:
    case message_kind::slot_return:
        take_message(upstreams.slots, *context, message);
        break;
    case message_kind::rollout_brake:
    case message_kind::rollout_report:
    case message_kind::rollout_record:
        take_message(rollouts, *context, message);
        break;
    }
}

void node::adopt_config()
{
    const auto& content = feed.tables->content;
    const auto& fleet = content->settings;
    contact.fresh.bounds.bound = fleet.freshness_bound;
    contact.fresh.bounds.list_bound = fleet.list_bound;
    // The list was sorted by the store's region of an earlier configuration.
    contact.fresh.listed_at.reset();
    freshness::record_held_epochs(contact.fresh, held_epochs(feed));
    configure(quota, *context, *content);
    configure(claims, *context, fleet);
    configure(upstreams, *context, content);
    configure(rollouts, *content);
    publish_snapshot();
}

void node::refresh_members()
{
    const auto now = loop.now();
    const auto live =
        membership::usable_members(contact.members, now, !contact.draining);
    const auto local =
        membership::usable_in_region(contact.members, config.region, now);
    assign_buckets(claims, live);
    set_share(upstreams, *context, share_in_use(quota),
              static_cast<std::uint32_t>(live.size()),
              static_cast<std::uint32_t>(1 + local.size()));
}

void node::publish_snapshot()
{
    if (!feed.tables)
        return;
    auto next = std::make_shared<traffic_snapshot>();
    next->tables = feed.tables;
    next->lookup.content = feed.tables->content;
    next->lookup.blocks = feed.tables->blocks;
    const auto now = loop.now();
    const auto instances =
        lookup_instances({config.id, config.region, config.address,
                          config.caller_port, contact.draining},
                         config.life, contact.members, feed.shares, now);
    next->lookup.instances = lookup::group_by_region(instances);
    snapshot.store(std::move(next));
}

void node::update_gauges()
{
    const auto held = held_epochs(feed);
    const auto now = loop.now();
    counters.set("config_epoch", "", "", double(held.config.value));
    counters.set("share_table_epoch", "", "", double(held.shares.value));
    const auto age = freshness::confirmation_age(contact.fresh, now);
    counters.set("confirmation_age_seconds", "", "",
                 age ? double(age->count()) / 1'000 : -1);
    counters.set("fresh", "", "",
                 freshness::evaluate(contact.fresh, now) ==
                         freshness::verdict::stale
                     ? 0
                     : 1);
    counters.set("in_flight", "", "", in_flight(upstreams));
    counters.set("control_backlog", "", "", double(loop.backlog()));
    const auto cut = caller_front->counters().cut;
    counters.set("requests_cut_off_unanswered", "", "", double(cut.unanswered));
    counters.set("requests_cut_off_unreceived", "", "", double(cut.unreceived));
    const auto sent = peers->counts();
    counters.set("peer_messages_sent", "", "", double(sent.messages_sent));
    counters.set("peer_bytes_sent", "", "", double(sent.bytes_sent));
    counters.set("peer_messages_dropped", "", "",
                 double(sent.dropped_buffer_full + sent.dropped_unknown_peer));
    counters.set("claim_store_writes", "", "",
                 double(claims.writer.counters.writes));
}

void node::poll_list()
{
    store::http_instance_list list(
        http_settings_for(config, config.instance_list));
    while (!stopping)
    {
        const auto asked_at = time.now();
        try
        {
            loop.post(
                [this, asked_at, found = list.read()]
                {
                    const auto region =
                        feed.tables
                            ? feed.tables->content->settings.store_region
                            : region_id();
                    take_list(contact, *context, found, asked_at, region);
                });
        }
        catch (const error& ec)
        {
            LOG4CPLUS_WARN(component_logger("membership"),
                           "The instance list can't be read: " << ec.what());
        }
        std::this_thread::sleep_for(second);
    }
}

void node::begin_drain()
{
    loop.post(
        [this]
        {
            if (phase != drain_phase::serving)
                return;
            LOG4CPLUS_INFO(node_log(), "Draining.");
            contact.draining = true;
            phase = drain_phase::waiting_for_caches;
            const auto ttl = feed.tables
                                 ? feed.tables->content->settings.lookup_ttl
                                 : milliseconds(0);
            phase_ends = loop.now() + ttl + drain_margin;
            quota::begin_leaving(quota.state);
            upstreams.slots.leaving = true;
            publish_snapshot();
        });
}

void node::step_drain()
{
    const bool time_over = loop.now() >= phase_ends;
    if (phase == drain_phase::waiting_for_caches && time_over)
        enter_finishing();
    else if (phase == drain_phase::finishing && (drained() || time_over))
        enter_closing();
    else if (phase == drain_phase::closing && closing_ended())
    {
        LOG4CPLUS_INFO(node_log(), "Drained with " << flow->active.size()
                                                   << " requests left.");
        loop.stop();
    }
}

bool node::closing_ended() const
{
    std::vector<time_point> deadlines;
    std::ranges::transform(flow->active, std::back_inserter(deadlines),
                           [](const auto& it) { return it.second.deadline; });
    return closing_has_ended(phase_ends, deadlines, loop.now());
}

// A request that was posted before refusing was set is decided on before the
// next step, so that none is left in a loop that has stopped.
void node::enter_closing()
{
    phase = drain_phase::closing;
    phase_ends = loop.now() + closing_limit;
    refusing = true;
}

void node::enter_finishing()
{
    phase = drain_phase::finishing;
    phase_ends = loop.now() + finish_limit;
    // Callers whose look-up answers have expired may still hold connections;
    // these are closed after their next response.
    caller_front->drain();
}

bool node::drained() const
{
    return flow->active.empty() && quota.handed_over;
}

void node::run()
{
    loop.run();
    caller_front->stop(receive_limit);
    admin_front->stop(admin_receive_limit);
}

void node::handle_caller(dataplane::inbound_request in,
                         const dataplane::responder& out)
{
    const auto current = snapshot.load();
    if (in.method == "GET" && in.path == "/v1/lookup")
    {
        out.complete(answer_caller_lookup(current.get(), in.query));
        counters.count_lookup();
        return;
    }
    const request_id id(config.id.value + "-" +
                        std::to_string(config.life.value) + "-" +
                        std::to_string(next_request++));
    out.name_request(id.value);
    auto routed = route_request(current.get(), std::move(in), out, id);
    if (refusing)
        routed.refusal = refusal_reason::draining;
    if (routed.refusal)
    {
        counters.count_refusal(*routed.refusal);
        auto response =
            dataplane::make_refusal(*routed.refusal, run_outcome::not_run);
        response.headers.push_back({"x-request-id", id.value});
        out.complete(response);
        return;
    }
    loop.post([this, request = std::move(routed.request)]() mutable
              { start(*flow, *context, std::move(request)); });
}

void node::handle_admin(const dataplane::inbound_request& in,
                        const dataplane::responder& out)
{
    if (in.path == "/metrics")
        out.complete({200,
                      {{"content-type", "text/plain; version=0.0.4"}},
                      counters.to_text()});
    else if (in.path == "/status")
        loop.post(
            [this, out]
            {
                out.complete(json_response(
                    200, status_json({*context, contact, feed, quota, upstreams,
                                      rollouts, flow->active.size()})));
            });
    else if (in.path == "/explain" && in.query.starts_with("id="))
        loop.post(
            [this, out, id = request_id(in.query.substr(3))]
            {
                const auto* d = decisions.find(id);
                out.complete(
                    d == nullptr
                        ? json_response(404, R"({"error":"no such request; )"
                                             R"(only recent ones are kept"})")
                        : json_response(200, explain_json(*d)));
            });
    else if (in.path == "/drain" && in.method == "POST")
    {
        begin_drain();
        out.complete(json_response(202, R"({"draining":true})"));
    }
    else
        out.complete(json_response(404, R"({"error":"no such resource"})"));
}

} // namespace parsleyplank::entry
