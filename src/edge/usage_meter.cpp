#include <parsleyplank/edge/usage_meter.hpp>

#include <utility>

namespace parsleyplank::edge
{

namespace
{

usage::window_id window_of(const usage_meter& meter, boot_time written,
                           const round_trip_time& round_trip)
{
    const auto travel = round_trip.value_or(std::chrono::microseconds(0)) / 2;
    return usage::window_at(usage::wall_at(meter.clock, written) + travel,
                            meter.window_length);
}

} // namespace

usage_meter make_usage_meter(const usage_settings& settings,
                             std::string_view duty)
{
    usage_meter meter;
    meter.enabled = has_duty(settings, duty);
    meter.window_length = settings.window;
    usage::observe_clocks(meter.clock, boot_now(), unix_now());
    return meter;
}

usage::unix_time unix_now()
{
    return std::chrono::system_clock::now().time_since_epoch();
}

std::optional<counted_send> count_usage(usage_meter& meter,
                                        const customer_id& customer,
                                        const round_trip_time& round_trip,
                                        boot_time now)
{
    if (!meter.enabled)
        return std::nullopt;
    const counted_send counted{customer, window_of(meter, now, round_trip)};
    usage::add_count(meter.changes, counted.window, customer, 1);
    return counted;
}

bool was_run(const proxy::call_result& result, bool refused)
{
    using proxy::call_outcome;
    constexpr unsigned misdirected = 421;
    switch (result.outcome)
    {
    case call_outcome::not_sent:
    case call_outcome::no_resources:
        return false;
    case call_outcome::answered:
        return !refused && result.response.result_int() != misdirected;
    case call_outcome::lost:
    case call_outcome::timed_out:
    case call_outcome::cancelled:
        // Nothing is written before the connection is open.
        return result.latency > std::chrono::microseconds(0);
    }
    return false;
}

void correct_usage(usage_meter& meter, const counted_send& counted,
                   const proxy::call_result& result, bool has_run,
                   const round_trip_time& round_trip, boot_time now)
{
    const auto window = window_of(meter, now - result.latency, round_trip);
    if (has_run && window == counted.window)
        return;
    usage::add_count(meter.changes, counted.window, counted.customer, -1);
    if (has_run)
        usage::add_count(meter.changes, window, counted.customer, 1);
}

usage::window_counts collect_usage(usage_meter& meter, boot_time now,
                                   usage::unix_time wall)
{
    usage::observe_clocks(meter.clock, now, wall);
    return std::exchange(meter.changes, {});
}

} // namespace parsleyplank::edge
