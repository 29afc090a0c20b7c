#ifndef PARSLEYPLANK_CTL_CHANGE_COMMANDS_HPP
#define PARSLEYPLANK_CTL_CHANGE_COMMANDS_HPP

// Commands that change the published configuration and wait until the
// instances confirm the new epoch.

#include <parsleyplank/config/model.hpp>
#include <parsleyplank/ctl/options.hpp>

#include <functional>

namespace parsleyplank::ctl
{

// Publishes a change and waits until every listed instance confirms the new
// epoch, for at most the freshness bound plus one second. Then prints how many
// instances confirmed it. Returns exit_done if all did, else exit_unconfirmed.
int publish_change(const options& o,
                   const std::function<void(config::bundle&)>& modify);

// Runs "key give CUSTOMER" or "key withdraw". The key is read from standard
// input unless its digest is given as an option. Throws usage_error if the
// arguments are wrong or the key is missing.
int change_key(const options& o);

// Runs "server leave SERVER" or "server return SERVER". Throws usage_error if
// the arguments are wrong.
int change_server(const options& o);

} // namespace parsleyplank::ctl

#endif
