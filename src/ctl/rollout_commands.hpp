#ifndef PARSLEYPLANK_CTL_ROLLOUT_COMMANDS_HPP
#define PARSLEYPLANK_CTL_ROLLOUT_COMMANDS_HPP

// Commands about rollouts.

#include <parsleyplank/ctl/options.hpp>

namespace parsleyplank::ctl
{

// rollout, rollout wait UPSTREAM, rollout retry UPSTREAM.
int control_rollout(const options& o);

} // namespace parsleyplank::ctl

#endif
