#ifndef PARSLEYPLANK_CTL_INSTANCE_COMMANDS_HPP
#define PARSLEYPLANK_CTL_INSTANCE_COMMANDS_HPP

// Commands that talk to the admin ports of instances.

#include <parsleyplank/ctl/options.hpp>

#include <cstdint>
#include <string>

namespace parsleyplank::ctl
{

// Prints the state of every listed instance. Returns exit_unconfirmed if one
// does not answer.
int show_status(const options& o);

// Prints the steps of a recent request's decision. Throws error if it is not
// known any more.
int explain(const options& o, const std::string& request);

// Starts the graceful shutdown of an instance.
int drain(const options& o, const std::string& instance);

// Prints the counters of one instance that are not 0, without the buckets of
// histograms. Reads its admin address, so that it also serves instances that no
// list names. Throws error if it does not answer.
int show_metrics(const std::string& address, std::uint16_t port);

} // namespace parsleyplank::ctl

#endif
