#include "fleet.hpp"

#include <cstdlib>

namespace review
{

nlohmann::json make_configuration(const std::vector<route>& routes,
                                  const std::vector<service>& services,
                                  const std::vector<tenant>& tenants)
{
    auto route_rows = nlohmann::json::array();
    for (const auto& it : routes)
        route_rows.push_back({it.name, "shop.example", it.path_prefix, it.type,
                              it.timeout, "400ms", 1, 2, false, it.service});
    auto service_rows = nlohmann::json::array();
    for (const auto& it : services)
        service_rows.push_back(
            {it.name, "/healthz", 360, it.warmup, it.warmup_rate});
    nlohmann::json whole{
        {"version", "00000007"},
        {"routes",
         {{"columns",
           {"name", "host", "pathPrefix", "routeType", "timeout",
            "targetLatency", "priority", "maxAttempts", "public", "service"}},
          {"rows", route_rows}}},
        {"services",
         {{"columns",
           {"name", "healthPath", "maxConnections", "warmup", "warmupPerS"}},
          {"rows", service_rows}}},
        {"limits",
         {{"maxHeaderBytes", 16'384},
          {"maxBodyBytes", 67'108'864},
          {"headerTimeout", "3000ms"},
          {"idleTimeout", "15000ms"}}}};
    if (tenants.empty())
        return whole;
    auto tenant_rows = nlohmann::json::array();
    for (const auto& it : tenants)
        tenant_rows.push_back({it.name, nlohmann::json::array({it.key}), 1,
                               it.rate, it.burst, nlohmann::json::array()});
    whole["tenants"] = {{"columns",
                         {"name", "apiKeys", "priority", "ratePerS", "burst",
                          "allowedRegions"}},
                        {"rows", tenant_rows}};
    return whole;
}

bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
