#include <parsleyplank/steering/server_notice.hpp>

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <string>

namespace parsleyplank::steering
{

namespace
{

// Parses a decimal number without a sign. Unlike std::from_chars, clamps a
// value that is out of range.
std::optional<double> parse_decimal(std::string_view text)
{
    constexpr std::string_view first_allowed = "0123456789.";
    constexpr std::string_view allowed = "0123456789.eE+-";
    if (text.empty() || first_allowed.find(text.front()) == text.npos ||
        text.find_first_not_of(allowed) != text.npos)
        return std::nullopt;
    const std::string terminated(text);
    char* end = nullptr;
    const auto n = std::strtod(terminated.c_str(), &end);
    if (end != terminated.c_str() + terminated.size())
        return std::nullopt;
    return std::min(n, std::numeric_limits<double>::max());
}

} // namespace

std::optional<token_rate> parse_rate(std::string_view text)
{
    const auto n = parse_decimal(text);
    return n ? std::optional(token_rate(*n)) : std::nullopt;
}

std::optional<milliseconds> parse_pause(std::string_view text)
{
    constexpr std::chrono::duration<double> longest = std::chrono::hours(24);
    const auto n = parse_decimal(text);
    if (!n)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(
        std::min(std::chrono::duration<double>(*n), longest));
}

void set_limit(server_limit& limit, std::optional<token_rate> rate,
               time_point heard, time_point now)
{
    if (!limit.in_force)
    {
        limit.budget = {};
        limit.wanted = limit.in_own_region ? now : time_point{};
        limit.wanted_since = {};
    }
    limit.in_force = rate.has_value();
    limit.rate = rate.value_or(token_rate(0));
    limit.heard = heard;
}

void claim_limit(server_limit& limit, milliseconds claim_time, time_point now)
{
    if (now - limit.wanted > claim_time)
        limit.wanted_since = now;
    limit.wanted = now;
}

bool has_claim(const server_limit& limit, milliseconds claim_time,
               milliseconds min_age, time_point now)
{
    return now - limit.wanted <= claim_time &&
           now - limit.wanted_since >= min_age;
}

time_point next_token(const server_limit& limit, time_point now)
{
    const auto& budget = limit.budget;
    const auto missing = 1 - budget.level.value;
    if (!limit.in_force || budget.rate <= token_rate(0) || missing <= 0)
        return {};
    return now +
           std::chrono::duration_cast<time_point::duration>(
               std::chrono::duration<double>(missing / budget.rate.value));
}

void record_notice(notice_state& state, const server_notice& notice,
                   time_point sent, time_point now)
{
    state.answered = now;
    if (notice.limit)
        set_limit(state.limit, *notice.limit, now, now);
    else if (notice.tells_limit && state.limit.in_force &&
             sent >= state.limit.heard)
        set_limit(state.limit, std::nullopt, now, now);
    state.leaving = state.leaving || notice.leaving;
    if (notice.pause)
        state.paused_until = std::max(state.paused_until, now + *notice.pause);
}

} // namespace parsleyplank::steering
