#include <parsleyplank/steering/region_shift.hpp>

#include <algorithm>
#include <cmath>

namespace parsleyplank::steering
{

namespace
{

double part(double of, double all)
{
    return all > 0 ? of / all : 0;
}

// Ages the weights, and moves the allowed part towards the wanted one.
void age(region_shift& shift, const shift_options& options, time_point now)
{
    const std::chrono::duration<double> span = now - shift.updated;
    shift.updated = now;
    if (span.count() <= 0)
        return;
    const std::chrono::duration<double> memory = options.memory;
    const auto kept = std::exp(-span.count() / memory.count());
    shift.all *= kept;
    shift.wanting *= kept;
    const auto most = options.change_per_s *
                      std::min(span.count(), 2 * memory.count());
    const auto distance = part(shift.wanting, shift.all) - shift.allowed;
    shift.allowed += std::clamp(distance, -most, most);
}

// Returns how many requests have to be due before one of this benefit goes.
double needed(double benefit_ms, const shift_options& options)
{
    if (benefit_ms > 0)
        return 1;
    return benefit_ms >= -options.tolerable_loss_ms
               ? options.due_before_forced
               : 2 * options.due_before_forced;
}

} // namespace

region_shift start_shift(double callers_part, double slots_part, time_point now)
{
    region_shift shift;
    shift.updated = now;
    if (callers_part > 0)
        shift.allowed = std::max(0.0, 1 - slots_part / callers_part);
    return shift;
}

bool goes_abroad(region_shift& shift, double benefit_ms,
                 const shift_options& options, time_point now)
{
    age(shift, options, now);
    const bool wants = benefit_ms > 0;
    shift.all += 1;
    shift.wanting += wants ? 1 : 0;
    shift.due = std::min(shift.due + shift.allowed,
                         2 * options.due_before_forced);
    const bool goes = shift.due >= needed(benefit_ms, options);
    if (goes)
        shift.due -= 1;
    return goes;
}

} // namespace parsleyplank::steering
