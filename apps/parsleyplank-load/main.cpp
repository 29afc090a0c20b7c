// parsleyplank-load: sends the requests of a scenario to a fleet and compares
// the results of such runs.
//
// Exit codes: 0 done, 1 failed (for compare: a measure got worse), 2 wrong
// arguments.

#include <parsleyplank/core/error.hpp>
#include <parsleyplank/load/compare.hpp>
#include <parsleyplank/load/run.hpp>
#include <parsleyplank/load/scenario.hpp>

#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

using namespace parsleyplank;

namespace
{

constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

struct options
{
    std::vector<std::string> command;
    std::vector<std::string> entries;
    std::string out;
    std::string orders;
    std::string run_id;
    std::vector<std::string> measures;
    double tolerance_percent = 0;
};

class usage_error : public error
{
public:
    using error::error;
};

// Keys of a later run on the same fleet must not repeat those of this one.
std::string default_run_id()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return "load-" +
           std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(since)
                   .count());
}

std::ofstream open_file(const std::string& name)
{
    std::ofstream file(name);
    if (!file)
        throw error("'" + name + "' can't be written");
    return file;
}

void close_file(std::ofstream& file, const std::string& name)
{
    file.close();
    if (!file)
        throw error("'" + name + "' could not be written completely");
}

int run(const options& o)
{
    if (o.command.size() != 2 || o.entries.empty())
        throw usage_error("run needs a SCENARIO file and --entry ADDRESS:PORT");
    const auto scenario = load::read_scenario(o.command[1]);
    load::run_settings settings;
    std::ranges::transform(o.entries, std::back_inserter(settings.entries),
                           [](const std::string& text)
                           {
                               try
                               {
                                   return load::parse_endpoint(text);
                               }
                               catch (const error& e)
                               {
                                   throw usage_error(e.what());
                               }
                           });
    settings.run_id = o.run_id.empty() ? default_run_id() : o.run_id;
    settings.on_fault = [](const std::string& line)
    {
        std::cerr << line << '\n';
    };
    // Opened before the run, so that a wrong name is found at once.
    std::ofstream out;
    std::ofstream orders;
    if (!o.out.empty())
        out = open_file(o.out);
    if (!o.orders.empty())
    {
        orders = open_file(o.orders);
        settings.on_order =
            [&orders](const std::string& key, const load::completion& end)
        {
            orders << key << ' ' << to_string(end.outcome) << ' '
                   << (end.reason.empty() ? "-" : end.reason) << '\n';
        };
    }
    const auto results = load::run_scenario(scenario, settings);
    std::cout << load::to_table(results);
    if (!o.out.empty())
    {
        out << load::to_json(results).dump(2) << '\n';
        close_file(out, o.out);
    }
    if (!o.orders.empty())
        close_file(orders, o.orders);
    return exit_done;
}

nlohmann::json read_results(const std::string& name)
{
    std::ifstream file(name);
    auto json = nlohmann::json::parse(file, nullptr, false);
    if (json.is_discarded())
        throw error("'" + name + "' is missing or not JSON");
    return json;
}

int compare(const options& o)
{
    if (o.command.size() != 3)
        throw usage_error("compare needs two files of results");
    const auto result =
        load::compare(read_results(o.command[1]), read_results(o.command[2]),
                      o.measures, o.tolerance_percent);
    std::ranges::for_each(result.lines, [](const std::string& line)
                          { std::cout << line << '\n'; });
    std::ranges::for_each(result.worse, [](const std::string& measure)
                          { std::cout << "worse: " << measure << '\n'; });
    return result.worse.empty() ? exit_done : exit_failed;
}

options parse_options(int argc, char** argv)
{
    TCLAP::CmdLine cmd("Sends the requests of a scenario to a fleet, or "
                       "compares the results of two runs.",
                       ' ', "1");
    TCLAP::UnlabeledMultiArg<std::string> command(
        "command", "run SCENARIO.toml, or compare A.json B.json", true,
        "COMMAND", cmd);
    TCLAP::MultiArg<std::string> entry(
        "", "entry", "instance to ask for look-ups; may be repeated", false,
        "ADDRESS:PORT", cmd);
    TCLAP::ValueArg<std::string> out("", "out", "file for the results as JSON",
                                     false, "", "FILE", cmd);
    TCLAP::ValueArg<std::string> orders(
        "", "orders",
        "file for a line KEY OUTCOME REASON per at-most-once request", false,
        "", "FILE", cmd);
    TCLAP::ValueArg<std::string> run_id(
        "", "run-id", "first part of idempotency keys; default by time", false,
        "", "TEXT", cmd);
    // The constraint's constructor takes a reference that is not const.
    std::vector<std::string> names;
    std::ranges::copy(load::known_measures(), std::back_inserter(names));
    TCLAP::ValuesConstraint<std::string> known(names);
    TCLAP::MultiArg<std::string> measure(
        "", "measure", "compare: exit 1 if this got worse; may be repeated",
        false, &known, cmd);
    TCLAP::ValueArg<double> tolerance(
        "", "tolerance", "compare: percent that a measure may get worse", false,
        0, "PERCENT", cmd);
    cmd.setExceptionHandling(false);
    cmd.parse(argc, argv);
    if (!std::isfinite(tolerance.getValue()) || tolerance.getValue() < 0)
        throw usage_error("--tolerance must be a percentage of at least 0");
    return {command.getValue(),  entry.getValue(),  out.getValue(),
            orders.getValue(),   run_id.getValue(), measure.getValue(),
            tolerance.getValue()};
}

int execute(const options& o)
{
    if (o.command.front() == "run")
        return run(o);
    if (o.command.front() == "compare")
        return compare(o);
    throw usage_error("unknown command '" + o.command.front() +
                      "'; use run or compare");
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return execute(parse_options(argc, argv));
    }
    catch (const TCLAP::ExitException& e)
    {
        return e.getExitStatus();
    }
    catch (const TCLAP::ArgException& e)
    {
        std::cerr << "parsleyplank-load: " << e.error() << ' ' << e.argId()
                  << '\n';
        return exit_usage;
    }
    catch (const usage_error& e)
    {
        std::cerr << "parsleyplank-load: " << e.what() << '\n';
        return exit_usage;
    }
    catch (const std::exception& e)
    {
        std::cerr << "parsleyplank-load: " << e.what() << '\n';
        return exit_failed;
    }
}
