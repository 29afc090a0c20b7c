#ifndef PARSLEYPLANK_CTL_CHANGE_HPP
#define PARSLEYPLANK_CTL_CHANGE_HPP

// Small changes of the configuration in force that operators make without
// publishing files. Each is a function for config::modify_published.

#include <parsleyplank/config/model.hpp>
#include <parsleyplank/core/ids.hpp>

#include <string>

namespace parsleyplank::ctl
{

// Adds a key of a customer. Throws config_error if the customer is unknown or
// the key is in force already.
void add_key(config::bundle& content, const customer_id& customer,
             const std::string& digest);

// Removes a key. Throws config_error if no customer has it.
void remove_key(config::bundle& content, const std::string& digest);

// Marks a backend server as leaving or not. Throws config_error if no upstream
// has it.
void set_server_leaving(config::bundle& content, const backend_server_id& id,
                        bool leaving);

} // namespace parsleyplank::ctl

#endif
