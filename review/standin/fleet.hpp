#ifndef PARSLEYPLANK_REVIEW_FLEET_HPP
#define PARSLEYPLANK_REVIEW_FLEET_HPP

// What all cases have in common: the result of a case and the configuration of
// a small deployment.

#include "edge_process.hpp"
#include "upstream.hpp"

namespace review
{

// Exit statuses of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int not_run = 2;

struct route
{
    std::string name;
    std::string path_prefix;
    std::string type;
    std::string service;
    std::string timeout;
};

struct service
{
    std::string name;
    std::string warmup = "3s";
    double warmup_rate = 13;
};

struct tenant
{
    std::string name;
    std::string key;
    double rate = 0;
    double burst = 0;
};

// Returns a configuration, as the operator writes it. Without tenants no key is
// needed.
nlohmann::json make_configuration(const std::vector<route>& routes,
                                  const std::vector<service>& services,
                                  const std::vector<tenant>& tenants = {});

// Returns whether the case runs with its disruption.
bool has_trouble();

} // namespace review

#endif
