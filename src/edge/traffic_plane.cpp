#include <parsleyplank/core/log.hpp>
#include <parsleyplank/edge/drain_schedule.hpp>
#include <parsleyplank/edge/traffic_plane.hpp>

#include <algorithm>
#include <array>
#include <log4cplus/loggingmacros.h>
#include <sstream>

namespace parsleyplank::edge
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

// Callers repeat the lookup after this time, or after the configured bound if
// that is shorter. Short, because a stopped instance stays in the responses
// until then.
constexpr milliseconds directory_ttl{2'000};
// Interval at which idle connections to servers are checked.
constexpr milliseconds pool_sweep_interval{1'000};
// Delay in reading from callers from which it is logged. They give up a request
// that is not read for a second.
constexpr milliseconds reported_delay{100};

steering::server_endpoint token_endpoint(const settings& config)
{
    return {config.address, static_cast<std::uint16_t>(config.peer_port + 1)};
}

time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

traffic_plane::traffic_plane(const settings& config, const adapter& adapted,
                             telemetry::metrics& metrics)
    : platform(adapted), counters(metrics), io(1),
      work(proxy::asio::make_work_guard(io)),
      monitor(std::make_shared<const proxy::loop_monitor>(io)),
      limits(make_caller_shares(config)),
      pool(io, server_options(config, limits)),
      token_peers(io, token_endpoint(config), make_token_handlers()),
      context{state,       platform, pool,
              token_peers, counters, component_logger("traffic")},
      sweep_timer(io), token_timer(io)
{
    state.config = config;
    state.usage = make_usage_meter(config.usage, adapted.usage_duty);
    state.tokens.self = config.id;
    state.tokens.region = config.region;
    state.tokens.rng.seed(std::random_device{}());
    state.options.shift = steering::shift_options_for(config.bounds.shift_cap);
    state.rng.seed(std::hash<instance_id>{}(config.id));
    const auto listen = [&](const steering::server_endpoint& where,
                            const proxy::front_options& options, auto handler)
    {
        listeners.push_back(std::make_unique<proxy::front_listener>(
            io, where, options,
            [this, handler](const proxy::exchange_ptr& ex)
            { (this->*handler)(ex); }));
    };
    auto caller_front = caller_options(config, limits);
    caller_front.monitor = monitor;
    listen(config.callers, caller_front, &traffic_plane::serve_request);
    listen(config.directory, service_options(config),
           &traffic_plane::serve_directory);
    listen(config.readiness, service_options(config),
           &traffic_plane::serve_readiness);
    if (config.admin.port != 0)
        listen(config.admin, service_options(config),
               &traffic_plane::serve_admin);
    sweep();
    exchange_tokens();
    thread = std::thread([this] { io.run(); });
}

traffic_plane::~traffic_plane()
{
    io.stop();
    thread.join();
}

void traffic_plane::publish(snapshot_ptr next)
{
    proxy::asio::post(
        io,
        [this, next = std::move(next)]
        {
            if (next->routing)
                listeners.front()->set_limits(next->routing->config->limits);
            if (next->draining)
                listeners.front()->drain();
            if (next->stop_at)
                pool.end_calls_by(last_response_at(*next->stop_at));
            adopt_snapshot(state, next, now());
        });
}

void traffic_plane::note_control_run(boot_time at)
{
    proxy::asio::post(io, [this, at] { context.control_run = at; });
}

void traffic_plane::collect(std::function<void(traffic_report)> take)
{
    proxy::asio::post(io,
                      [this, take = std::move(take)]
                      {
                          auto report = make_report(state, now());
                          report.usage_changes = collect_usage(
                              state.usage, boot_now(), unix_now());
                          take(report);
                      });
}

void traffic_plane::stop_accepting(std::function<void()> on_drained)
{
    // Lookups, the health check and the metrics are served until the callers
    // have left.
    const auto stop_services = [this, on_drained = std::move(on_drained)]
    {
        const auto open = std::make_shared<std::size_t>(listeners.size() - 1);
        const auto count_down = [open, on_drained]
        {
            if (--*open == 0)
                on_drained();
        };
        std::for_each(listeners.begin() + 1, listeners.end(),
                      [&](const auto& it) { it->stop(count_down); });
    };
    proxy::asio::post(io, [this, stop_services]
                      { listeners.front()->stop(stop_services); });
}

void traffic_plane::close_callers(std::function<void()> done)
{
    proxy::asio::post(io,
                      [this, done = std::move(done)]
                      {
                          for (const auto& it : listeners)
                              it->close_connections(close_reason::exit);
                          done();
                      });
}

void traffic_plane::serve_request(const proxy::exchange_ptr& ex)
{
    const auto flow = std::make_shared<request_flow>(context, ex);
    proxy::asio::co_spawn(
        io, [flow] { return flow->run(); },
        [this, ex](const std::exception_ptr& ec)
        {
            if (!ec)
                return;
            try
            {
                std::rethrow_exception(ec);
            }
            catch (const std::exception& problem)
            {
                LOG4CPLUS_ERROR(context.log, "event=request_failed detail=\""
                                                 << problem.what() << '"');
            }
            constexpr unsigned internal_error = 500;
            proxy::respond(
                *ex, proxy::make_response(internal_error, "internal error"));
        });
}

token_handlers traffic_plane::make_token_handlers()
{
    // After a pause, the division of the rates may have changed.
    const auto grant =
        [this](const token_count& it) -> std::optional<std::uint32_t>
    {
        if (!state_usable(context))
            return std::nullopt;
        return grant_tokens(state.tokens, it.customer, it.count, now());
    };
    const auto grant_elsewhere =
        [this](const token_count& it) -> std::optional<std::uint32_t>
    {
        if (!state_usable(context))
            return std::nullopt;
        return edge::grant_elsewhere(state.tokens, it.customer, now()) ? 1 : 0;
    };
    const auto lend = [this](const token_count& it) -> std::uint32_t
    {
        if (!state_usable(context))
            return 0;
        return lend_tokens(state.tokens, it.customer, it.count, now());
    };
    return {grant,
            grant_elsewhere,
            lend,
            [this](const token_count& it)
            { edge::add_own(state.tokens, it.customer, it.count); },
            [this](const token_count& it)
            { add_spare(state.tokens, it.customer, it.count); },
            [this](const token_count& it)
            { add_lent(state.tokens, it.customer, it.count); },
            [this](std::size_t bytes)
            {
                counters.count_sent(telemetry::peer_message::tokens, 1, bytes);
            }};
}

void traffic_plane::exchange_tokens()
{
    if (state_usable(context))
        token_peers.send_transfers(move_tokens(state.tokens, now()));
    token_timer.expires_after(state.tokens.options.move_interval);
    token_timer.async_wait(
        [this](const proxy::error_code& ec)
        {
            if (!ec)
                exchange_tokens();
        });
}

void traffic_plane::serve_directory(const proxy::exchange_ptr& ex)
{
    const auto target = ex->request.target();
    const auto query =
        platform.parse_directory_query({target.data(), target.size()});
    if (!query)
    {
        proxy::respond(*ex, proxy::make_response(status_not_found, "no such "
                                                                   "path"));
        return;
    }
    counters.count_lookup();
    const auto found = steering::choose_instances(state.snapshot->instances,
                                                  query->domain, query->region);
    auto response = proxy::make_response(
        found.empty() ? status_unavailable : status_ok,
        platform.format_directory_answer(
            found, std::min(directory_ttl, state.config.bounds.directory_ttl)));
    response.set(proxy::http::field::content_type, "application/json");
    proxy::respond(*ex, std::move(response));
}

void traffic_plane::serve_readiness(const proxy::exchange_ptr& ex)
{
    const auto target = ex->request.target();
    const bool known =
        std::string_view(target.data(), target.size()) == platform.ready_path;
    const bool ready = state_usable(context) && !state.snapshot->draining;
    const auto status = !known  ? status_not_found
                        : ready ? status_ok
                                : status_unavailable;
    proxy::respond(*ex,
                   proxy::make_response(status, ready ? "ready" : "not ready"));
}

void traffic_plane::serve_admin(const proxy::exchange_ptr& ex)
{
    if (ex->request.target() == "/metrics")
    {
        proxy::respond(*ex,
                       proxy::make_response(status_ok, counters.to_text()));
        return;
    }
    proxy::respond(*ex, proxy::make_response(status_not_found, "no such path"));
}

void traffic_plane::report_load()
{
    const auto& front = *listeners.front();
    const auto delay = monitor->delay();
    const auto& counts = front.counts();
    const auto set = [this](const char* name, auto value)
    {
        counters.set(name, "", "", static_cast<double>(value));
    };
    set("event_loop_delay_seconds",
        std::chrono::duration<double>(delay).count());
    set("caller_connections", front.open_connections());
    set("accept_failures", counts.accept_failures);
    set("postponed_accepts", counts.postponed_accepts);
    set("idle_callers_closed", counts.closed_for_others);
    set("callers_refused", counts.refused);
    report_limits();
    report_framing();
    set("requests_cut_off_unanswered", front.cut().unanswered);
    set("requests_cut_off_unreceived", front.cut().unreceived);
    const auto accept_failing = front.accept_failing_time();
    if (delay >= reported_delay || accept_failing >= reported_delay ||
        counts.refused > reported.refused ||
        counts.postponed_accepts > reported.postponed_accepts)
        LOG4CPLUS_WARN(
            context.log,
            "event=callers_wait event_loop_ms="
                << std::chrono::duration_cast<milliseconds>(delay).count()
                << " accept_failing_ms=" << accept_failing.count()
                << " postponed_accepts="
                << counts.postponed_accepts - reported.postponed_accepts
                << " refused=" << counts.refused - reported.refused
                << " connections=" << front.open_connections());
    reported = counts;
}

void traffic_plane::report_limits()
{
    const std::array names{"callers", "directory", "readiness", "admin"};
    proxy::memory_counts sum;
    for (std::size_t n = 0; n < listeners.size(); ++n)
    {
        const auto& counts = listeners[n]->memory();
        const auto set = [&](const char* name, std::uint64_t value)
        {
            counters.set(name, "listener", names.at(n),
                         static_cast<double>(value));
        };
        set("requests_refused_for_header_memory", counts.refused_headers);
        set("requests_refused_for_body_memory", counts.refused_bodies);
        set("connections_closed_for_memory", counts.closed);
        set("connections_paused_for_memory", counts.paused);
        sum.refused_headers += counts.refused_headers;
        sum.refused_bodies += counts.refused_bodies;
        sum.closed += counts.closed;
        sum.paused += counts.paused;
    }
    const auto set = [this](const char* name, std::size_t value)
    {
        counters.set(name, "", "", static_cast<double>(value));
    };
    set("caller_memory_bytes", limits.callers->used());
    set("body_memory_bytes", limits.bodies->used());
    set("server_connections", limits.descriptors->servers);
    if (sum.refused_headers > reported_memory.refused_headers ||
        sum.refused_bodies > reported_memory.refused_bodies ||
        sum.closed > reported_memory.closed)
        LOG4CPLUS_WARN(
            context.log,
            "event=callers_limited refused_headers="
                << sum.refused_headers - reported_memory.refused_headers
                << " refused_bodies="
                << sum.refused_bodies - reported_memory.refused_bodies
                << " closed=" << sum.closed - reported_memory.closed
                << " paused=" << sum.paused - reported_memory.paused
                << " memory_bytes=" << limits.callers->used()
                << " body_bytes=" << limits.bodies->used());
    reported_memory = sum;
}

void traffic_plane::report_framing()
{
    proxy::framing_counts sum;
    for (const auto& listener : listeners)
        for (const auto& [fault, n] : listener->framing())
            sum[fault] += n;
    std::ostringstream changes;
    for (const auto fault : proxy::all_framing_faults)
    {
        const std::string name(to_string(fault));
        const auto n = sum[fault];
        counters.set("requests_refused_for_framing", "fault", name,
                     static_cast<double>(n));
        if (n > reported_framing[fault])
            changes << ' ' << name << '=' << n - reported_framing[fault];
    }
    if (!changes.str().empty())
        LOG4CPLUS_WARN(context.log, "event=framing_refused" << changes.str());
    reported_framing = sum;
}

void traffic_plane::sweep()
{
    pool.sweep();
    sweep_timer.expires_after(pool_sweep_interval);
    sweep_timer.async_wait(
        [this](const proxy::error_code& ec)
        {
            if (ec)
                return;
            report_load();
            sweep();
        });
}

} // namespace parsleyplank::edge
