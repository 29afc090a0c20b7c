#include <parsleyplank/core/error.hpp>
#include <parsleyplank/ctl/change.hpp>

#include <algorithm>

namespace parsleyplank::ctl
{

namespace
{

auto find_key(config::bundle& content, const std::string& digest)
{
    return std::ranges::find(content.keys, digest, &config::api_key::digest);
}

} // namespace

void add_key(config::bundle& content, const customer_id& customer,
             const std::string& digest)
{
    if (std::ranges::find(content.customers, customer, &config::customer::id) ==
        content.customers.end())
        throw config_error("customer '" + customer.value + "' is unknown");
    const auto it = find_key(content, digest);
    if (it != content.keys.end())
        throw config_error("key with digest " + digest +
                           " is already in force for customer '" +
                           it->customer.value + "'");
    content.keys.push_back({digest, customer});
}

void remove_key(config::bundle& content, const std::string& digest)
{
    const auto it = find_key(content, digest);
    if (it == content.keys.end())
        throw config_error("no key with digest " + digest + " is in force");
    content.keys.erase(it);
}

void set_server_leaving(config::bundle& content, const backend_server_id& id,
                        bool leaving)
{
    bool found = false;
    std::ranges::for_each(content.upstreams,
                          [&](config::upstream& u)
                          {
                              const auto it = std::ranges::find(
                                  u.servers, id, &config::backend_server::id);
                              if (it == u.servers.end())
                                  return;
                              it->leaving = leaving;
                              found = true;
                          });
    if (!found)
        throw config_error("backend server '" + id.value + "' is unknown");
}

} // namespace parsleyplank::ctl
