// Publishes the operators' files as the configuration in force.

#include "options.hpp"
#include "output.hpp"
#include "store_access.hpp"
#include <parsleyplank/config/publish.hpp>
#include <parsleyplank/config/service_file.hpp>
#include <parsleyplank/core/error.hpp>

#include <tclap/ArgException.h>

#include <algorithm>
#include <exception>
#include <iostream>
#include <string>
#include <thread>

namespace parsleyplank::publish_app
{

namespace
{

enum exit_status
{
    exit_done = 0,
    exit_problems = 1,
    exit_usage = 2,
    exit_conflict = 3,
    exit_store = 4,
    exit_unknown = 5
};

// Waits 100 ms more before each attempt, so that a slow store is not pressed.
config::publish_limits waiting_limits()
{
    config::publish_limits limits;
    limits.pause = [](int n)
    {
        std::this_thread::sleep_for(milliseconds(100) * n);
    };
    return limits;
}

// Removes parts that are not in use. The new configuration is in force whether
// or not this succeeds.
std::string remove_parts(store::kv_store& store)
{
    try
    {
        return "; removed " +
               std::to_string(config::remove_unused_parts(store)) +
               " unused part(s)";
    }
    catch (const error& ec)
    {
        return std::string("; unused parts were not removed: ") + ec.what();
    }
}

outcome publish_files(const options& given, const config::bundle& content)
{
    const auto store = open_store(given.store_url);
    const auto limits = waiting_limits();
    const auto base = given.rewrite
                          ? config::load_manifest(*store)
                          : config::load_published(*store, {}, true, limits);
    outcome v;
    v.in_force = base.description.epoch();
    if (!given.rewrite)
        v.differences = config::compare(base.content, content);
    if (given.diff)
    {
        v.result = "compared";
        v.message = std::to_string(v.differences.size()) +
                    " item(s) differ from epoch " +
                    std::to_string(v.in_force.value);
        return v;
    }
    if (!given.rewrite && v.differences.empty() && v.in_force.value > 0)
    {
        v.result = "unchanged";
        v.message = "epoch " + std::to_string(v.in_force.value) +
                    " is in force and equals the files; nothing published";
        return v;
    }
    v.in_force =
        config::publish(*store, base, content,
                        {given.publisher, config::new_change_id()}, limits);
    v.result = "published";
    v.message = "published epoch " + std::to_string(v.in_force.value);
    if (given.remove_unused)
        v.message += remove_parts(*store);
    return v;
}

exit_status run(const options& given)
{
    const auto files = config::collect_files(given.paths);
    outcome v;
    v.problems = config::check_files(files);
    exit_status status = exit_done;
    try
    {
        if (!v.problems.empty())
        {
            v.result = "problems";
            v.message = std::to_string(v.problems.size()) + " problem(s)";
            status = exit_problems;
        }
        else if (given.check)
        {
            v.result = "checked";
            v.message = "no problems";
        }
        else
            v = publish_files(given, files.content);
    }
    catch (const config::publish_conflict& ec)
    {
        v = {"conflict", ec.what(), {}, {}, {}};
        status = exit_conflict;
    }
    catch (const store_outcome_unknown& ec)
    {
        v = {"unknown", ec.what(), {}, {}, {}};
        status = exit_unknown;
    }
    catch (const config_error& ec)
    {
        // The files are checked by now: an argument is wrong.
        v = {"failed", ec.what(), {}, {}, {}};
        status = exit_usage;
    }
    catch (const error& ec)
    {
        v = {"failed",
             std::string(ec.what()) + "; nothing was published",
             {},
             {},
             {}};
        status = exit_store;
    }
    print(v, given.json);
    return status;
}

} // namespace

} // namespace parsleyplank::publish_app

int main(int argc, char** argv)
{
    namespace app = parsleyplank::publish_app;
    try
    {
        return app::run(app::parse_options(argc, argv));
    }
    catch (const TCLAP::ExitException& ec)
    {
        return ec.getExitStatus();
    }
    catch (const TCLAP::ArgException& ec)
    {
        std::cerr << "parsleyplank-publish: " << ec.argId() << " " << ec.error()
                  << "; see --help\n";
        return app::exit_usage;
    }
    catch (const std::exception& ec)
    {
        std::cerr << "parsleyplank-publish: " << ec.what() << "\n";
        return app::exit_store;
    }
}
