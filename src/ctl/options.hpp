#ifndef PARSLEYPLANK_CTL_OPTIONS_HPP
#define PARSLEYPLANK_CTL_OPTIONS_HPP

// Options and exit codes shared by the commands of parsleyplank-ctl.

#include <parsleyplank/core/error.hpp>
#include <parsleyplank/store/http_call.hpp>

#include <string>
#include <vector>

namespace parsleyplank::ctl
{

enum exit_code : int
{
    exit_done = 0,
    exit_failed = 1,
    exit_usage = 2,
    // A change was accepted but not every instance has confirmed it, or the
    // status of an instance can't be read.
    exit_unconfirmed = 3
};

struct options
{
    store::http_settings store;
    // Endpoint of the instance list; the store's unless set separately.
    store::http_settings list;
    // Name recorded with a published change.
    std::string publisher;
    // SHA-256 of the API key in hex; empty if the key is read from standard
    // input.
    std::string digest;
    // Machine-readable output.
    bool json = false;
    // The command's name, then its arguments.
    std::vector<std::string> command;
};

// Thrown if the arguments of a command are wrong.
class usage_error : public error
{
public:
    using error::error;
};

} // namespace parsleyplank::ctl

#endif
