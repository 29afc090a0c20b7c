#include "output.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace parsleyplank::publish_app
{

namespace
{

void print_json(const outcome& v)
{
    auto problems = nlohmann::json::array();
    std::ranges::for_each(v.problems,
                          [&](const config::problem& problem) {
                              problems.push_back({{"item", problem.item},
                                                  {"text", problem.text}});
                          });
    auto differences = nlohmann::json::array();
    std::ranges::for_each(v.differences,
                          [&](const config::difference& difference)
                          {
                              differences.push_back(
                                  {{"kind", to_string(difference.kind)},
                                   {"item", difference.item}});
                          });
    const nlohmann::json body{{"result", v.result},
                              {"message", v.message},
                              {"epoch", v.in_force.value},
                              {"problems", problems},
                              {"differences", differences}};
    std::cout << body.dump(2, ' ', false,
                           nlohmann::json::error_handler_t::replace)
              << std::endl;
}

} // namespace

void print(const outcome& v, bool json)
{
    if (json)
    {
        print_json(v);
        return;
    }
    std::ranges::for_each(v.differences,
                          [](const config::difference& difference) {
                              std::cout << to_string(difference.kind) << " "
                                        << difference.item << "\n";
                          });
    std::cerr << config::to_string(v.problems);
    const bool failed = v.result == "conflict" || v.result == "failed" ||
                        v.result == "unknown" || v.result == "problems";
    if (!v.message.empty())
        (failed ? std::cerr : std::cout) << v.message << std::endl;
}

} // namespace parsleyplank::publish_app
