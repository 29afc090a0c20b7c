#include <parsleyplank/usage/window.hpp>

namespace parsleyplank::usage
{

window_id window_at(unix_time at, milliseconds length)
{
    return window_id(static_cast<std::uint64_t>(at / length));
}

unix_time window_end(window_id window, milliseconds length)
{
    return length * static_cast<std::int64_t>(window.value + 1);
}

void add_count(window_counts& counts, window_id window,
               const customer_id& customer, std::int64_t change)
{
    if (change == 0)
        return;
    auto& customers = counts[window];
    auto& count = customers[customer];
    count += change;
    if (count != 0)
        return;
    customers.erase(customer);
    if (customers.empty())
        counts.erase(window);
}

void add_counts(window_counts& counts, const window_counts& more)
{
    for (const auto& [window, customers] : more)
        for (const auto& [customer, count] : customers)
            add_count(counts, window, customer, count);
}

void remove_before(window_counts& counts, window_id first)
{
    counts.erase(counts.begin(), counts.lower_bound(first));
}

void observe_clocks(window_clock& clock, boot_time boot, unix_time wall)
{
    const auto offset = wall - boot;
    const bool is_step =
        clock.offset &&
        std::chrono::abs(offset - *clock.offset) > clock.options.max_change;
    if (!is_step)
        clock.step_since.reset();
    else if (!clock.step_since)
        clock.step_since = boot;
    if (is_step && boot - *clock.step_since < clock.options.step_delay)
        return;
    clock.offset = offset;
    clock.step_since.reset();
}

unix_time wall_at(const window_clock& clock, boot_time boot)
{
    return clock.offset ? boot + *clock.offset : unix_time(0);
}

} // namespace parsleyplank::usage
