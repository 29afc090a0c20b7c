#include <parsleyplank/config/publish.hpp>
#include <parsleyplank/ctl/change_commands.hpp>
#include <parsleyplank/ctl/fleet_view.hpp>
#include <parsleyplank/ctl/rollout_commands.hpp>
#include <parsleyplank/rollout/rollout.hpp>
#include <parsleyplank/store/http_instance_list.hpp>
#include <parsleyplank/store/http_kv_store.hpp>

#include <algorithm>
#include <iostream>
#include <sstream>
#include <thread>

namespace parsleyplank::ctl
{

namespace
{

constexpr milliseconds rollout_poll_interval{1'000};

std::string rollout_line(const nlohmann::json& r)
{
    std::ostringstream out;
    out << r.value("upstream", std::string()) << ' '
        << r.value("from", std::string()) << " to "
        << r.value("to", std::string()) << ": "
        << r.value("phase", std::string()) << ", share "
        << r.value("share_ppm", 0) << " ppm"
        << (r.value("late", false) ? ", late" : "");
    const auto evidence = r.value("evidence", std::string());
    return out.str() + (evidence.empty() ? "" : ", " + evidence);
}

int show_rollouts(const options& o)
{
    store::http_instance_list list(o.list);
    for (const auto& view : view_fleet(list))
        for (const auto& r : view.status.value_or(nlohmann::json::object())
                                 .value("rollouts", nlohmann::json::array()))
            std::cout << (o.json ? r.dump()
                                 : view.info.id.value + "  " + rollout_line(r))
                      << '\n';
    return exit_done;
}

std::string rollout_key(const std::string& upstream)
{
    return "state/rollout/" + upstream;
}

rollout::rollout_record read_rollout(store::kv_store& kv,
                                     const std::string& upstream)
{
    const auto read = kv.get(rollout_key(upstream));
    if (!read.found)
        throw error("upstream '" + upstream + "' has no rollout");
    return unpack_value<rollout::rollout_record>(read.found->value,
                                                 read.found->key);
}

int wait_rollout(const options& o, const std::string& upstream)
{
    store::http_kv_store kv(o.store);
    auto record = read_rollout(kv, upstream);
    while (record.state == rollout::phase::running)
    {
        std::this_thread::sleep_for(rollout_poll_interval);
        record = read_rollout(kv, upstream);
    }
    std::cout << upstream << ' ' << record.order.from.value << " to "
              << record.order.to.value << ": "
              << rollout::to_string(record.state)
              << (record.late ? ", late" : "")
              << (record.evidence.empty() ? "" : ", " + record.evidence)
              << '\n';
    return record.state == rollout::phase::done ? exit_done : exit_failed;
}

const config::rollout& find_rollout(const config::bundle& content,
                                    const std::string& upstream)
{
    const auto it = std::ranges::find(content.rollouts, upstream_id(upstream),
                                      &config::rollout::upstream);
    if (it == content.rollouts.end())
        throw error("the configuration has no rollout of upstream '" +
                    upstream + "'");
    return *it;
}

// Restarts a rollout that was rolled back: replaces its record by a new start
// record.
int retry_rollout(const options& o, const std::string& upstream)
{
    store::http_kv_store kv(o.store);
    const auto read = kv.get(rollout_key(upstream));
    const auto old = read_rollout(kv, upstream);
    if (old.state != rollout::phase::rolled_back)
        throw error("the rollout of upstream '" + upstream +
                    "' was not rolled back");
    // Publishes the unchanged configuration: the new epoch distinguishes this
    // rollout from the one that was rolled back.
    config::rollout wanted;
    const auto confirmed =
        publish_change(o, [&](const config::bundle& content)
                       { wanted = find_rollout(content, upstream); });
    const auto started = config::load_manifest(kv).description.epoch();
    const auto now = std::chrono::duration_cast<milliseconds>(
        system_clock().wall_now().time_since_epoch());
    const auto record = rollout::start_record(
        {wanted.upstream, wanted.from, wanted.to, started},
        {wanted.duration, wanted.first_share}, now.count());
    if (!kv.compare_and_swap(rollout_key(upstream), read.found->key_revision,
                             pack_value(record))
             .applied)
        throw error("the rollout of '" + upstream +
                    "' was changed concurrently; check its state again");
    return confirmed;
}

} // namespace

int control_rollout(const options& o)
{
    const auto& c = o.command;
    if (c.size() == 1)
        return show_rollouts(o);
    if (c.size() == 3 && c[1] == "wait")
        return wait_rollout(o, c[2]);
    if (c.size() == 3 && c[1] == "retry")
        return retry_rollout(o, c[2]);
    throw usage_error("use 'rollout', 'rollout wait UPSTREAM' or 'rollout "
                      "retry UPSTREAM'");
}

} // namespace parsleyplank::ctl
