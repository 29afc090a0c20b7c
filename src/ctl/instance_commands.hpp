#ifndef PARSLEYPLANK_CTL_INSTANCE_COMMANDS_HPP
#define PARSLEYPLANK_CTL_INSTANCE_COMMANDS_HPP

// Commands that send requests to the admin ports of instances.

#include <parsleyplank/ctl/options.hpp>

#include <cstdint>
#include <string>

namespace parsleyplank::ctl
{

// Prints the state of every listed instance. Returns exit_unconfirmed if the
// status of at least one instance can't be read.
int show_status(const options& o);

// Prints the recorded steps of a recent request's decision. Throws usage_error
// if the request id is malformed, and error if its instance is not listed or no
// longer has the record.
int explain(const options& o, const std::string& request);

// Starts the graceful shutdown of an instance. Throws error if the instance is
// not listed or refuses.
int drain(const options& o, const std::string& instance);

// Prints the nonzero metrics of one instance, without histogram buckets. Takes
// the admin address, so that it also works for instances that are not listed.
// Throws error if the request fails or its status is not 200.
int show_metrics(const std::string& address, std::uint16_t port);

} // namespace parsleyplank::ctl

#endif
