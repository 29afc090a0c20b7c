#include "options.hpp"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <iterator>

namespace parsleyplank::publish_app
{

namespace
{

constexpr const char* description =
    "Collects the fleet file and the service files, checks them as a whole and "
    "publishes them as the configuration in force. Entry instances adopt it "
    "within seconds. Nothing is published if there is any problem, or if "
    "another publisher was first.\n\n"
    "Examples:\n"
    "  parsleyplank-publish --check examples/tokachi\n"
    "  parsleyplank-publish --store http://127.0.0.1:7001 --diff fleet.toml "
    "orders/service.toml\n"
    "  parsleyplank-publish --store http://127.0.0.1:7001 --publisher anna "
    "examples/tokachi\n\n"
    "Exit status: 0 done, or nothing to do; 1 the files have problems; 2 wrong "
    "arguments; 3 another publisher was first; 4 the store or what it holds is "
    "not usable, nothing was published; 5 it is not known whether the "
    "configuration was published";

// Checks combinations that TCLAP does not.
void check_combination(const options& v)
{
    // TCLAP takes an unknown option for a path.
    const auto option =
        std::ranges::find_if(v.paths, [](const std::filesystem::path& path)
                             { return path.string().starts_with('-'); });
    if (option != v.paths.end())
        throw TCLAP::CmdLineParseException("is no option", option->string());
    if (v.check && v.diff)
        throw TCLAP::CmdLineParseException("give only one of them",
                                           "--check, --diff");
    if (v.rewrite && (v.check || v.diff))
        throw TCLAP::CmdLineParseException("needs neither --check nor --diff",
                                           "--rewrite");
    if (!v.check && v.store_url.empty())
        throw TCLAP::CmdLineParseException("is needed unless --check is given",
                                           "--store");
    if (!v.check && !v.diff && v.publisher.empty())
        throw TCLAP::CmdLineParseException(
            "is needed to publish; others see this name if they lose a race",
            "--publisher");
}

} // namespace

options parse_options(int argc, const char* const* argv)
{
    TCLAP::CmdLine line(description, ' ', "1");
    line.setExceptionHandling(false);
    TCLAP::UnlabeledMultiArg<std::string> paths(
        "path",
        "Fleet file, service file, or a folder that is searched for files "
        "named fleet.toml and service.toml",
        true, "PATH", line);
    TCLAP::SwitchArg remove(
        "", "remove-unused-parts",
        "After publishing, delete parts of earlier configurations from the "
        "store",
        line);
    TCLAP::SwitchArg rewrite(
        "", "rewrite",
        "Write all parts anew without reading those in the store; for when "
        "parts in the store are missing or damaged",
        line);
    TCLAP::SwitchArg json("", "json", "Print the result as one JSON object",
                          line);
    TCLAP::SwitchArg diff("", "diff",
                          "Only print what would change against the "
                          "configuration in force, item by item",
                          line);
    TCLAP::SwitchArg check("", "check",
                           "Only check the files and print all problems", line);
    TCLAP::ValueArg<std::string> publisher(
        "", "publisher", "Name of who publishes, e.g. an operator", false, "",
        "NAME", line);
    TCLAP::ValueArg<std::string> store(
        "", "store", "Store of the platform, e.g. http://127.0.0.1:7001", false,
        "", "URL", line);
    line.parse(argc, argv);

    options parsed{{},
                   store.getValue(),
                   publisher.getValue(),
                   check.getValue(),
                   diff.getValue(),
                   json.getValue(),
                   rewrite.getValue(),
                   remove.getValue()};
    std::ranges::copy(paths.getValue(), std::back_inserter(parsed.paths));
    check_combination(parsed);
    return parsed;
}

} // namespace parsleyplank::publish_app
