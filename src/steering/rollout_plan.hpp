#ifndef PARSLEYPLANK_STEERING_ROLLOUT_PLAN_HPP
#define PARSLEYPLANK_STEERING_ROLLOUT_PLAN_HPP

// Schedule and evaluation of a rollout, which moves a service to a new version
// by a deadline. Each instance follows the same schedule from the start of the
// rollout, evaluates the responses of the whole fleet, and stops sending to a
// faulty version without coordination. The first instance to finish writes the
// outcome once, by compare-and-swap.

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

// A rollout as ordered by the operator.
struct rollout_order
{
    service_id service;
    version_id target;
    // Time within which the rollout has to complete.
    milliseconds duration{0};
    // Store revision of the order; later orders have higher revisions.
    revision ordered;

    bool operator==(const rollout_order&) const = default;
};

// Responses of one version as counted by one instance. The counts never
// decrease.
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

// Returns the responses in `later` beyond those in `earlier`. A count that is
// lower there, because an instance has restarted or left, becomes 0.
rollout_tally operator-(const rollout_tally& later,
                        const rollout_tally& earlier);

struct rollout_options
{
    // Part of the duration in which the target gets only the first share.
    double trial_part = 0.4;
    share_ppm first_share{60'000};
    // Part of the duration between the further steps.
    double step_part = 0.07;
    // Shares after the trial; the step after the third is the full share.
    share_ppm second_share{250'000};
    share_ppm third_share{550'000};
    // Good responses of the target that are needed before its share grows.
    std::uint64_t min_good = 8;
    // p-value below which a difference from the other versions is significant.
    double significance = 1e-3;
    // Bad or slow responses of the target that are needed before it can fail
    // the comparison.
    std::uint64_t min_faulty = 4;
    // Minimum part of the target's responses that are bad or slow when it fails
    // the comparison.
    double min_faulty_part = 0.15;
};

// Returns a description of the regression of the target against the other
// versions, or nullopt if there is none.
std::optional<std::string> find_regression(const rollout_tally& fleet,
                                           const rollout_options& options);

// Returns the share of the target after the given part of the duration has
// passed, given the responses of the fleet so far.
share_ppm planned_share(double elapsed_part, const rollout_tally& fleet,
                        const rollout_options& options);

// Returns whether the rollout is complete: the target has had the full share
// for the settling time, in which requests on the other versions finish.
bool rollout_complete(milliseconds time_at_full_share, milliseconds settling);

std::string_view to_string(rollout_phase phase);

} // namespace parsleyplank::steering

#endif
