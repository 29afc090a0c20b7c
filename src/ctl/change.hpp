#ifndef PARSLEYPLANK_CTL_CHANGE_HPP
#define PARSLEYPLANK_CTL_CHANGE_HPP

// Small changes to the published configuration that operators make without
// publishing files. Each function edits a bundle in place and is meant to be
// called from the callback of config::modify_published.

#include <parsleyplank/config/model.hpp>
#include <parsleyplank/core/ids.hpp>

#include <string>

namespace parsleyplank::ctl
{

// Adds an API key, given by its digest (the SHA-256 of the key in hex), to a
// customer. Throws config_error if the customer is unknown or the key already
// belongs to a customer.
void add_key(config::bundle& content, const customer_id& customer,
             const std::string& digest);

// Removes the API key with this digest. Throws config_error if no customer has
// it.
void remove_key(config::bundle& content, const std::string& digest);

// Sets or clears the leaving flag of a backend server in every upstream that
// lists it. A leaving server gets no new work. Throws config_error if no
// upstream lists it.
void set_server_leaving(config::bundle& content, const backend_server_id& id,
                        bool leaving);

} // namespace parsleyplank::ctl

#endif
