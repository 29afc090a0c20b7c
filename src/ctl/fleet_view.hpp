#ifndef PARSLEYPLANK_CTL_FLEET_VIEW_HPP
#define PARSLEYPLANK_CTL_FLEET_VIEW_HPP

// What an operator's program sees of the running fleet: the platform's instance
// list and the admin port of each listed instance.

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
    // Body of its /status; none if the admin port did not answer.
    std::optional<nlohmann::json> status;
    // Why it did not answer.
    std::string problem;
};

// Calls the admin port of an instance. Throws store::transfer_error.
store::http_response call_admin(const store::listed_instance& info,
                                const std::string& method,
                                const std::string& path);

// Returns the state of all instances of the list, by id. Throws
// store_unavailable if the list can't be read.
std::vector<instance_view> view_fleet(store::instance_list& list);

// Returns the epoch of the configuration in force on an instance; none if it
// did not answer.
std::optional<epoch> config_epoch(const instance_view& view);

// How far a configuration is in force.
struct confirmation_state
{
    std::vector<instance_id> confirmed;
    // Instances that have not confirmed the epoch. Each refuses keyed requests
    // once its confirmation is older than the freshness bound, unless an outage
    // of the store is attested.
    std::vector<instance_id> unconfirmed;
};

// Polls the fleet until every instance confirms the epoch or the time is over.
// The pause is called between polls.
confirmation_state wait_until_confirmed(store::instance_list& list,
                                        epoch wanted, milliseconds limit,
                                        const clock& time,
                                        const std::function<void()>& pause);

} // namespace parsleyplank::ctl

#endif
