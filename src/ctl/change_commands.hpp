#ifndef PARSLEYPLANK_CTL_CHANGE_COMMANDS_HPP
#define PARSLEYPLANK_CTL_CHANGE_COMMANDS_HPP

// Commands that change the configuration in force and wait until it is
// confirmed.

#include <parsleyplank/config/model.hpp>
#include <parsleyplank/ctl/options.hpp>

#include <functional>

namespace parsleyplank::ctl
{

// Publishes a change, waits for the freshness bound and a second, and prints on
// how many instances it is in force. Returns exit_unconfirmed if not on all.
int publish_change(const options& o,
                   const std::function<void(config::bundle&)>& modify);

// key give CUSTOMER, key withdraw.
int change_key(const options& o);

// server leave SERVER, server return SERVER.
int change_server(const options& o);

} // namespace parsleyplank::ctl

#endif
