// parsleyplank-ctl: shows and changes the running fleet.
//
// Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 accepted but not confirmed
// by every instance (or, for status, an instance that does not answer).

#include <parsleyplank/config/publish.hpp>
#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/hash.hpp>
#include <parsleyplank/ctl/change.hpp>
#include <parsleyplank/ctl/fleet_view.hpp>
#include <parsleyplank/rollout/rollout.hpp>
#include <parsleyplank/store/http_instance_list.hpp>
#include <parsleyplank/store/http_kv_store.hpp>

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace parsleyplank;

namespace
{

constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_unconfirmed = 3;

constexpr milliseconds poll_pause{100};
constexpr milliseconds rollout_poll_pause{1'000};
// Added to the freshness bound when waiting for a change to be in force.
constexpr milliseconds confirm_margin{1'000};

constexpr const char* command_help = R"(one of:
  status                     state of every listed instance
  explain REQUEST-ID         how a recent request was decided
  drain INSTANCE             graceful shutdown of an entry instance
  key give CUSTOMER          give a key; the key is read from standard input
  key withdraw               withdraw a key, read from standard input
  server leave SERVER        no new work for a backend server
  server return SERVER       let it work again
  rollout                    state of the rollouts on every instance
  rollout wait UPSTREAM      wait until a rollout is done (0) or rolled back (1)
  rollout retry UPSTREAM     start a rollout that was rolled back once more
With --digest HEX the key commands take the SHA-256 of the key instead.)";

struct options
{
    store::http_settings store;
    store::http_settings list;
    std::string publisher;
    std::string digest;
    bool json = false;
    std::vector<std::string> command;
};

class usage_error : public error
{
public:
    using error::error;
};

store::http_settings parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    const auto port =
        colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
    if (port < 1 || port > 65'535)
        throw usage_error("'" + text + "' is not ADDRESS:PORT");
    store::http_settings http;
    http.address = text.substr(0, colon);
    http.port = static_cast<std::uint16_t>(port);
    return http;
}

std::string status_line(const ctl::instance_view& view)
{
    std::ostringstream out;
    out << std::left << std::setw(16) << view.info.id.value << std::setw(12)
        << view.info.region.value;
    if (!view.status)
        return out.str() + "no answer: " + view.problem;
    const auto& s = *view.status;
    out << "epoch " << std::setw(6) << s.value("config_epoch", 0)
        << std::setw(17)
        << s["freshness"].value("verdict", std::string("unknown")) << "share "
        << std::setw(8) << s.value("share_ppm", 0) << "active " << std::setw(5)
        << s.value("active_requests", 0)
        << (s.value("draining", false) ? "draining" : "");
    return out.str();
}

int show_status(const options& o)
{
    store::http_instance_list list(o.list);
    const auto views = ctl::view_fleet(list);
    nlohmann::json all = nlohmann::json::array();
    std::ranges::for_each(views,
                          [&](const ctl::instance_view& view)
                          {
                              all.push_back(
                                  {{"id", view.info.id.value},
                                   {"status", view.status.value_or(nullptr)},
                                   {"problem", view.problem}});
                              if (!o.json)
                                  std::cout << status_line(view) << '\n';
                          });
    if (o.json)
        std::cout << all.dump() << '\n';
    const bool answered =
        std::ranges::all_of(views, [](const ctl::instance_view& view)
                            { return view.status.has_value(); });
    return answered ? exit_done : exit_unconfirmed;
}

store::listed_instance find_instance(const options& o,
                                     const std::string& instance)
{
    store::http_instance_list list(o.list);
    const auto listed = list.read();
    const auto it = std::ranges::find(listed, instance_id(instance),
                                      &store::listed_instance::id);
    if (it == listed.end())
        throw error("instance '" + instance + "' is not listed");
    return *it;
}

// A request id is INSTANCE-INCARNATION-NUMBER; the instance id may hold dashes.
std::string instance_of(const std::string& request)
{
    const auto number = request.rfind('-');
    const auto life = number == std::string::npos || number == 0
                          ? std::string::npos
                          : request.rfind('-', number - 1);
    if (life == std::string::npos)
        throw usage_error("'" + request + "' is not a request id");
    return request.substr(0, life);
}

int explain(const options& o, const std::string& request)
{
    const auto response =
        ctl::call_admin(find_instance(o, instance_of(request)), "GET",
                        "/explain?id=" + request);
    if (response.status != 200)
        throw error("request " + request + ": " + response.body);
    if (o.json)
    {
        std::cout << response.body << '\n';
        return exit_done;
    }
    const auto decision = nlohmann::json::parse(response.body);
    for (const auto& step : decision["steps"])
        std::cout << std::right << std::setw(9)
                  << step["after_us"].get<std::int64_t>() << " us  "
                  << std::left << std::setw(10)
                  << step["step"].get<std::string>()
                  << step["text"].get<std::string>() << '\n';
    return exit_done;
}

int drain(const options& o, const std::string& instance)
{
    const auto response =
        ctl::call_admin(find_instance(o, instance), "POST", "/drain");
    if (response.status != 202)
        throw error("instance '" + instance + "' refused: " + response.body);
    std::cout << instance << " is draining\n";
    return exit_done;
}

std::string join(const std::vector<instance_id>& ids)
{
    std::string text;
    std::ranges::for_each(ids, [&](const instance_id& id)
                          { text += (text.empty() ? "" : " ") + id.value; });
    return text;
}

void print_outcome(const options& o, epoch accepted,
                   const ctl::rollout_view& seen)
{
    const auto all = seen.in_force.size() + seen.unconfirmed.size();
    if (o.json)
    {
        std::cout << nlohmann::json{{"epoch", accepted.value},
                                    {"in_force", seen.in_force.size()},
                                    {"instances", all},
                                    {"unconfirmed", join(seen.unconfirmed)}}
                         .dump()
                  << '\n';
        return;
    }
    std::cout << "epoch " << accepted.value << " accepted, in force on "
              << seen.in_force.size() << " of " << all;
    if (!seen.unconfirmed.empty())
        std::cout << "; unconfirmed: " << join(seen.unconfirmed)
                  << "\nThese refuse keyed requests once their confirmation is "
                     "older than the freshness bound, unless the store is out "
                     "of reach for every instance of its region.";
    std::cout << '\n';
}

int change(const options& o, const std::function<void(config::bundle&)>& modify)
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
    const auto seen =
        ctl::wait_in_force(list, accepted, bound + confirm_margin, time,
                           [] { std::this_thread::sleep_for(poll_pause); });
    print_outcome(o, accepted, seen);
    return seen.unconfirmed.empty() ? exit_done : exit_unconfirmed;
}

// Keys are read from standard input, because arguments show in process lists.
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

int change_key(const options& o)
{
    const auto& c = o.command;
    if (c.size() == 3 && c[1] == "give")
    {
        const auto digest = read_digest(o);
        return change(o, [&](config::bundle& content)
                      { ctl::give_key(content, customer_id(c[2]), digest); });
    }
    if (c.size() == 2 && c[1] == "withdraw")
    {
        const auto digest = read_digest(o);
        return change(o, [&](config::bundle& content)
                      { ctl::withdraw_key(content, digest); });
    }
    throw usage_error("use 'key give CUSTOMER' or 'key withdraw'");
}

int change_server(const options& o)
{
    const auto& c = o.command;
    if (c.size() != 3 || (c[1] != "leave" && c[1] != "return"))
        throw usage_error("use 'server leave SERVER' or 'server return "
                          "SERVER'");
    return change(o,
                  [&](config::bundle& content)
                  {
                      ctl::set_server_leaving(content, backend_server_id(c[2]),
                                              c[1] == "leave");
                  });
}

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
    for (const auto& view : ctl::view_fleet(list))
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
        std::this_thread::sleep_for(rollout_poll_pause);
        record = read_rollout(kv, upstream);
    }
    std::cout << upstream << ' ' << record.what.from.value << " to "
              << record.what.to.value << ": "
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

// Replaces the record of a rollout that was rolled back by its first one.
int retry_rollout(const options& o, const std::string& upstream)
{
    store::http_kv_store kv(o.store);
    const auto read = kv.get(rollout_key(upstream));
    const auto old = read_rollout(kv, upstream);
    if (old.state != rollout::phase::rolled_back)
        throw error("the rollout of upstream '" + upstream +
                    "' was not rolled back");
    // A new epoch tells the rollout from the one that was rolled back.
    config::rollout wanted;
    const auto confirmed =
        change(o, [&](const config::bundle& content)
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
                    "' has changed meanwhile; look at it again");
    return confirmed;
}

int change_rollout(const options& o)
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

int run_command(const options& o)
{
    const auto& c = o.command;
    if (c[0] == "status" && c.size() == 1)
        return show_status(o);
    if (c[0] == "explain" && c.size() == 2)
        return explain(o, c[1]);
    if (c[0] == "drain" && c.size() == 2)
        return drain(o, c[1]);
    if (c[0] == "key")
        return change_key(o);
    if (c[0] == "server")
        return change_server(o);
    if (c[0] == "rollout")
        return change_rollout(o);
    throw usage_error("unknown command '" + c[0] + "'; see --help");
}

options parse_options(int argc, char** argv)
{
    TCLAP::CmdLine cmd("Shows and changes a running parsleyplank fleet. Exits "
                       "3 if a change was accepted but an instance has not "
                       "confirmed it.",
                       ' ', "0.1");
    TCLAP::ValueArg<std::string> platform("", "platform",
                                          "the platform's store and list", true,
                                          "", "ADDRESS:PORT", cmd);
    TCLAP::ValueArg<std::string> list("", "list",
                                      "instance list, if it is elsewhere",
                                      false, "", "ADDRESS:PORT", cmd);
    TCLAP::ValueArg<std::string> publisher(
        "", "publisher", "name that others see beside a change", false,
        "parsleyplank-ctl", "NAME", cmd);
    TCLAP::ValueArg<std::string> digest("", "digest",
                                        "SHA-256 of the key, in place of the "
                                        "key on standard input",
                                        false, "", "HEX", cmd);
    TCLAP::SwitchArg json("", "json", "machine-readable output", cmd);
    TCLAP::UnlabeledMultiArg<std::string> command("command", command_help, true,
                                                  "COMMAND", cmd);
    cmd.parse(argc, argv);
    options o;
    o.store = parse_endpoint(platform.getValue());
    o.list = list.isSet() ? parse_endpoint(list.getValue()) : o.store;
    o.publisher = publisher.getValue();
    o.digest = digest.getValue();
    o.json = json.getValue();
    o.command = command.getValue();
    return o;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run_command(parse_options(argc, argv));
    }
    catch (const usage_error& ec)
    {
        std::cerr << "parsleyplank-ctl: " << ec.what() << '\n';
        return exit_usage;
    }
    catch (const std::exception& ec)
    {
        std::cerr << "parsleyplank-ctl: " << ec.what() << '\n';
        return exit_failed;
    }
}
