#include <parsleyplank/config/publish.hpp>
#include <parsleyplank/core/hash.hpp>
#include <parsleyplank/ctl/change.hpp>
#include <parsleyplank/ctl/change_commands.hpp>
#include <parsleyplank/ctl/fleet_view.hpp>
#include <parsleyplank/store/http_instance_list.hpp>
#include <parsleyplank/store/http_kv_store.hpp>

#include <algorithm>
#include <iostream>
#include <thread>

namespace parsleyplank::ctl
{

namespace
{

constexpr milliseconds poll_interval{100};
// Added to the freshness bound when waiting for the instances to confirm a
// change.
constexpr milliseconds confirm_margin{1'000};

std::string join(const std::vector<instance_id>& ids)
{
    std::string text;
    std::ranges::for_each(ids, [&](const instance_id& id)
                          { text += (text.empty() ? "" : " ") + id.value; });
    return text;
}

void print_outcome(const options& o, epoch accepted,
                   const confirmation_state& outcome)
{
    const auto all = outcome.confirmed.size() + outcome.unconfirmed.size();
    if (o.json)
    {
        std::cout << nlohmann::json{{"epoch", accepted.value},
                                    {"in_force", outcome.confirmed.size()},
                                    {"instances", all},
                                    {"unconfirmed", join(outcome.unconfirmed)}}
                         .dump()
                  << '\n';
        return;
    }
    std::cout << "epoch " << accepted.value << " accepted, in force on "
              << outcome.confirmed.size() << " of " << all;
    if (!outcome.unconfirmed.empty())
        std::cout << "; unconfirmed: " << join(outcome.unconfirmed)
                  << "\nThese refuse keyed requests once their confirmation is "
                     "older than the freshness bound, unless the store is "
                     "unreachable for every instance of its region.";
    std::cout << '\n';
}

// Returns the digest option or, without it, the digest of the key on standard
// input. Keys are not accepted as arguments, because process listings show
// them.
std::string read_digest(const options& o)
{
    if (!o.digest.empty())
        return o.digest;
    std::string key;
    std::getline(std::cin, key);
    if (key.empty())
        throw usage_error("no key on standard input");
    return sha256_hex(key);
}

} // namespace

int publish_change(const options& o,
                   const std::function<void(config::bundle&)>& modify)
{
    store::http_kv_store kv(o.store);
    milliseconds bound{0};
    const auto accepted =
        config::modify_published(kv,
                                 [&](config::bundle& content)
                                 {
                                     modify(content);
                                     bound = content.settings.freshness_bound;
                                 },
                                 {o.publisher, config::new_change_id()});
    store::http_instance_list list(o.list);
    const system_clock time;
    const auto outcome = wait_until_confirmed(
        list, accepted, bound + confirm_margin, time,
        [] { std::this_thread::sleep_for(poll_interval); });
    print_outcome(o, accepted, outcome);
    return outcome.unconfirmed.empty() ? exit_done : exit_unconfirmed;
}

int change_key(const options& o)
{
    const auto& c = o.command;
    if (c.size() == 3 && c[1] == "give")
    {
        const auto digest = read_digest(o);
        return publish_change(o, [&](config::bundle& content)
                              { add_key(content, customer_id(c[2]), digest); });
    }
    if (c.size() == 2 && c[1] == "withdraw")
    {
        const auto digest = read_digest(o);
        return publish_change(o, [&](config::bundle& content)
                              { remove_key(content, digest); });
    }
    throw usage_error("use 'key give CUSTOMER' or 'key withdraw'");
}

int change_server(const options& o)
{
    const auto& c = o.command;
    if (c.size() != 3 || (c[1] != "leave" && c[1] != "return"))
        throw usage_error("use 'server leave SERVER' or 'server return "
                          "SERVER'");
    return publish_change(o,
                          [&](config::bundle& content) {
                              set_server_leaving(content,
                                                 backend_server_id(c[2]),
                                                 c[1] == "leave");
                          });
}

} // namespace parsleyplank::ctl
