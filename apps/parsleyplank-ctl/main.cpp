// parsleyplank-ctl: shows and changes the running fleet.
//
// Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 change accepted but not
// confirmed by every instance (or, for status, an instance whose status can't
// be read).

#include <parsleyplank/ctl/change_commands.hpp>
#include <parsleyplank/ctl/instance_commands.hpp>
#include <parsleyplank/ctl/rollout_commands.hpp>

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>
#include <string>

using namespace parsleyplank;
using namespace parsleyplank::ctl;

namespace
{

constexpr const char* command_help = R"(one of:
  status                     state of every listed instance
  explain REQUEST-ID         how a recent request was decided
  metrics ADDRESS:PORT       counters of an instance, by its admin address
  drain INSTANCE             graceful shutdown of an entry instance
  key give CUSTOMER          give a key; the key is read from standard input
  key withdraw               withdraw a key, read from standard input
  server leave SERVER        no new work for a backend server
  server return SERVER       let it work again
  rollout                    state of the rollouts on every instance
  rollout wait UPSTREAM      wait until a rollout is done (0) or rolled back (1)
  rollout retry UPSTREAM     start a rollout that was rolled back once more
With --digest HEX the key commands take the SHA-256 of the key instead.)";

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

int run_command(const options& o)
{
    const auto& c = o.command;
    if (c[0] == "status" && c.size() == 1)
        return show_status(o);
    if (c[0] == "explain" && c.size() == 2)
        return explain(o, c[1]);
    if (c[0] == "metrics" && c.size() == 2)
    {
        const auto endpoint = parse_endpoint(c[1]);
        return show_metrics(endpoint.address, endpoint.port);
    }
    if (c[0] == "drain" && c.size() == 2)
        return drain(o, c[1]);
    if (c[0] == "key")
        return change_key(o);
    if (c[0] == "server")
        return change_server(o);
    if (c[0] == "rollout")
        return control_rollout(o);
    throw usage_error("unknown command '" + c[0] + "'; see --help");
}

options parse_options(int argc, char** argv)
{
    TCLAP::CmdLine cmd("Shows and changes a running parsleyplank fleet. Exits "
                       "3 if a change was accepted but an instance has not "
                       "confirmed it.",
                       ' ', "0.1");
    TCLAP::ValueArg<std::string> platform("", "platform",
                                          "the platform's store and list; "
                                          "not needed for metrics",
                                          false, "", "ADDRESS:PORT", cmd);
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
    if (platform.isSet())
        o.store = parse_endpoint(platform.getValue());
    else if (command.getValue().front() != "metrics")
        throw usage_error("--platform ADDRESS:PORT is missing");
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
