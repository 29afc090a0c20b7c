#include <parsleyplank/steering/region_shift.hpp>

#include <algorithm>
#include <cmath>

namespace parsleyplank::steering
{

namespace
{

// Decays the counts to the current time and updates the shifted part.
void update(region_shift& shift, const shift_options& options, time_point now)
{
    const std::chrono::duration<double> span = now - shift.updated;
    shift.updated = now;
    if (span.count() <= 0)
        return;
    const std::chrono::duration<double> averaging_time = options.averaging_time;
    const auto kept = std::exp(-span.count() / averaging_time.count());
    shift.total *= kept;
    shift.benefiting *= kept;
    const auto benefiting =
        shift.total > 0 ? shift.benefiting / shift.total : 0;
    // Limits the step after a pause without requests.
    const auto seconds = std::min(span.count(), averaging_time.count());
    if (benefiting > options.growth_threshold)
        shift.shifted_part += options.growth_per_s * seconds;
    else if (benefiting < options.fall_threshold)
        shift.shifted_part -= options.fall_per_s * seconds;
    shift.shifted_part = std::clamp(shift.shifted_part, 0.0, 1.0);
}

} // namespace

shift_options shift_options_for(double cap)
{
    constexpr double growth_part = 1.0 / 3;
    constexpr double fall_part = 4.0 / 15;
    shift_options options;
    options.growth_per_s = cap * growth_part;
    options.fall_per_s = cap * fall_part;
    return options;
}

region_shift initial_shift(double callers_part, double slots_part,
                           time_point now)
{
    region_shift shift;
    shift.updated = now;
    if (callers_part > 0)
        shift.shifted_part = std::max(0.0, 1 - slots_part / callers_part);
    return shift;
}

bool shift_request(region_shift& shift, double benefit_ms,
                   std::optional<double> position, const shift_options& options,
                   time_point now)
{
    update(shift, options, now);
    shift.total += 1;
    shift.benefiting += benefit_ms > 0 ? 1 : 0;
    if (position)
        return *position < shift.shifted_part;
    shift.credit += shift.shifted_part;
    if (shift.credit < 1)
        return false;
    shift.credit -= 1;
    return true;
}

} // namespace parsleyplank::steering
