#ifndef PARSLEYPLANK_CTL_OPTIONS_HPP
#define PARSLEYPLANK_CTL_OPTIONS_HPP

// Options and exit codes that the commands of parsleyplank-ctl share.

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
    // A change was accepted, but not every instance has confirmed it.
    exit_unconfirmed = 3
};

struct options
{
    store::http_settings store;
    store::http_settings list;
    std::string publisher;
    std::string digest;
    bool json = false;
    std::vector<std::string> command;
};

// The arguments of a command are wrong.
class usage_error : public error
{
public:
    using error::error;
};

} // namespace parsleyplank::ctl

#endif
