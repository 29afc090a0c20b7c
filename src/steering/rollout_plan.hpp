#ifndef PARSLEYPLANK_STEERING_ROLLOUT_PLAN_HPP
#define PARSLEYPLANK_STEERING_ROLLOUT_PLAN_HPP

// Moves a service to a new version by a deadline. Each instance follows the
// same schedule from the start of the order, judges the requests of the whole
// fleet, and stops sending to a bad version on its own. The outcome is written
// once, by compare-and-swap, by whichever instance comes first.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/core/units.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace parsleyplank::steering
{

enum class rollout_phase : std::uint8_t
{
    running,
    completed,
    rolled_back
};

constexpr int enum_size(rollout_phase /*kind*/)
{
    return static_cast<int>(rollout_phase::rolled_back) + 1;
}

// What the operator asks for.
struct rollout_order
{
    service_id service;
    version_id target;
    // Time in which the move has to be done.
    milliseconds duration{0};
    // Store revision of the order; a later order has a higher one.
    revision ordered;

    bool operator==(const rollout_order&) const = default;
};

// Requests of one version as one instance has counted them. Counts only grow.
struct version_tally
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    // Good responses that took several times the expected time.
    std::uint64_t slow = 0;

    bool operator==(const version_tally&) const = default;

    MSGPACK_DEFINE_ARRAY(good, bad, slow)
};

struct rollout_tally
{
    version_tally target;
    version_tally others;

    bool operator==(const rollout_tally&) const = default;

    MSGPACK_DEFINE_ARRAY(target, others)
};

rollout_tally operator+(const rollout_tally& a, const rollout_tally& b);

struct rollout_options
{
    // Part of the duration for which the target gets only the first share.
    double trial_part = 0.4;
    share_ppm first_share{60'000};
    // Parts of the duration between the further steps.
    double step_part = 0.07;
    // Shares after the trial; the last is the whole.
    share_ppm second_share{250'000};
    share_ppm third_share{550'000};
    // Responses of the target without which the share does not grow.
    std::uint64_t min_good = 8;
    // Probability below which a difference to the other versions is not chance.
    double significance = 1e-3;
    // Bad or slow responses of the target without which it is not judged.
    std::uint64_t min_faulty = 4;
    // Part of the target's responses that has to be bad or slow.
    double min_faulty_part = 0.15;
};

// Returns what shows the target to be bad, or nothing.
std::optional<std::string> find_regression(const rollout_tally& fleet,
                                           const rollout_options& options);

// Returns the share of the target after that part of the duration has passed,
// given the responses of the fleet so far.
share_ppm planned_share(double elapsed_part, const rollout_tally& fleet,
                        const rollout_options& options);

// Returns whether the move is over: the whole share has been the target's for
// the settling time, in which requests at the other versions end.
bool rollout_complete(milliseconds time_at_full_share, milliseconds settling);

std::string_view to_string(rollout_phase phase);

} // namespace parsleyplank::steering

#endif
