#include <parsleyplank/core/hash.hpp>
#include <parsleyplank/usage/duty.hpp>

#include <algorithm>

namespace parsleyplank::usage
{

namespace
{

bool is_own(const duty_state& duty, const holder_record& record)
{
    return record.holder == duty.self && record.started_ms == duty.started_ms;
}

} // namespace

fence_token next_token(fence_token stored, std::int64_t unix_ms,
                       const instance_id& claimant)
{
    constexpr std::uint64_t claimants = 1'024;
    const auto time =
        static_cast<std::uint64_t>(std::max<std::int64_t>(unix_ms, 0));
    const auto high = std::max(stored.value / claimants + 1, time);
    return fence_token(high * claimants + hash64(claimant.value) % claimants);
}

fence_tokens inherited_tokens(const sums_record& left)
{
    constexpr std::size_t max_tokens = 8;
    fence_tokens tokens;
    if (left.token == fence_token(0))
        return tokens;
    tokens = left.inherits;
    tokens.insert(tokens.begin(), left.token);
    tokens.resize(std::min(tokens.size(), max_tokens));
    return tokens;
}

bool note_record(duty_state& duty, const holder_record& record, boot_time now)
{
    duty.current = record;
    duty.absent_since.reset();
    return duty.held && (!is_own(duty, record) || record.token != *duty.held) &&
           end_duty(duty, now);
}

bool note_absent_record(duty_state& duty, boot_time now)
{
    duty.current.reset();
    if (!duty.absent_since)
        duty.absent_since = now;
    return end_duty(duty, now);
}

void note_renewal(duty_state& duty, boot_time began)
{
    duty.lease_confirmed = began;
}

bool should_claim(const duty_state& duty, std::size_t rank, boot_time now)
{
    if (duty.held || now < duty.claim_not_before)
        return false;
    if (duty.current)
        return is_own(duty, *duty.current);
    return duty.absent_since &&
           now - *duty.absent_since >=
               duty.options.candidate_delay * static_cast<std::int64_t>(rank);
}

void begin_duty(duty_state& duty, const holder_record& record,
                revision record_revision)
{
    duty.current = record;
    duty.absent_since.reset();
    duty.held = record.token;
    duty.held_revision = record_revision;
}

bool may_adopt(const duty_state& duty, const holder_record& record)
{
    return is_own(duty, record) && record.token != duty.refused;
}

void note_refused(duty_state& duty, fence_token token, boot_time now)
{
    duty.refused = token;
    if (duty.held == token)
        end_duty(duty, now);
}

bool end_duty(duty_state& duty, boot_time now)
{
    if (!duty.held)
        return false;
    duty.held.reset();
    duty.claim_not_before = now + duty.options.claim_pause;
    return true;
}

std::optional<boot_time> may_act_until(const duty_state& duty)
{
    if (!duty.held || !duty.lease_confirmed)
        return std::nullopt;
    return *duty.lease_confirmed + duty.options.lease_ttl -
           duty.options.lease_margin;
}

} // namespace parsleyplank::usage
