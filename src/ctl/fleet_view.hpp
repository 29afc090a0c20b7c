#ifndef PARSLEYPLANK_CTL_FLEET_VIEW_HPP
#define PARSLEYPLANK_CTL_FLEET_VIEW_HPP

// The state of the running fleet as an operator's tool reads it: the platform's
// instance list and the responses of each listed instance's admin port.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/store/http_call.hpp>
#include <parsleyplank/store/instance_list.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace parsleyplank::ctl
{

// State of one listed instance.
struct instance_view
{
    store::listed_instance info;
    // Body of the response to GET /status; empty if the request failed or the
    // body is not JSON.
    std::optional<nlohmann::json> status;
    // Error message if status is empty.
    std::string problem;
};

// Sends a request to the admin port of an instance. "POST" sends an empty body;
// every other method is sent as a GET. Throws store::transfer_error if the
// transfer fails.
store::http_response call_admin(const store::listed_instance& info,
                                const std::string& method,
                                const std::string& path);

// Returns the state of every listed instance, sorted by id. Throws
// store_unavailable if the list can't be read.
std::vector<instance_view> view_fleet(store::instance_list& list);

// Returns the epoch of the configuration in force on an instance, or nullopt if
// its status is not known.
std::optional<epoch> config_epoch(const instance_view& view);

// Which instances have confirmed a configuration epoch.
struct confirmation_state
{
    std::vector<instance_id> confirmed;
    // Instances that have not confirmed the epoch. Each refuses keyed requests
    // once its last confirmation is older than the freshness bound, unless an
    // outage of the store is attested.
    std::vector<instance_id> unconfirmed;
};

// Polls the fleet until every listed instance has the wanted epoch or a later
// one, or until the limit has passed. Calls pause between two polls. Returns
// the result of the last poll.
confirmation_state wait_until_confirmed(store::instance_list& list,
                                        epoch wanted, milliseconds limit,
                                        const clock& time,
                                        const std::function<void()>& pause);

} // namespace parsleyplank::ctl

#endif
