#ifndef PARSLEYPLANK_CTL_ROLLOUT_COMMANDS_HPP
#define PARSLEYPLANK_CTL_ROLLOUT_COMMANDS_HPP

// Commands that show, await and restart rollouts.

#include <parsleyplank/ctl/options.hpp>

namespace parsleyplank::ctl
{

// Runs "rollout", "rollout wait UPSTREAM" or "rollout retry UPSTREAM". Throws
// usage_error if the arguments are wrong, and error if the upstream has no
// rollout or the rollout can't be retried.
int control_rollout(const options& o);

} // namespace parsleyplank::ctl

#endif
