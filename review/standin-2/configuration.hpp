#ifndef PARSLEYPLANK_REVIEW_2_CONFIGURATION_HPP
#define PARSLEYPLANK_REVIEW_2_CONFIGURATION_HPP

// Configurations as the operator writes them, with the limits of the site.

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace review2
{

struct route
{
    std::string name;
    std::string prefix;
    // safe, unsafe or upload.
    std::string type;
    bool is_public = true;
};

constexpr const char* host = "shop.example";
constexpr const char* service = "parts";

inline nlohmann::json make_configuration(const std::string& version,
                                         const std::vector<route>& routes)
{
    auto rows = nlohmann::json::array();
    for (const auto& it : routes)
        rows.push_back({it.name, host, it.prefix, it.type, "4000ms", "600ms", 1,
                        2, it.is_public, false, service});
    return {
        {"version", version},
        {"routes",
         {{"columns",
           {"name", "host", "pathPrefix", "routeType", "timeout",
            "targetLatency", "priority", "maxAttempts", "public",
            "sessionAffinity", "service"}},
          {"rows", rows}}},
        {"services",
         {{"columns",
           {"name", "healthPath", "maxConnections", "warmup", "warmupPerS"}},
          {"rows", nlohmann::json::array({nlohmann::json::array(
                       {service, "/healthz", 330, "3s", 3.8})})}}},
        {"limits",
         {{"maxHeaderBytes", 16'384},
          {"maxBodyBytes", 67'108'864},
          {"headerTimeout", "3000ms"},
          {"idleTimeout", "15000ms"}}}};
}

} // namespace review2

#endif
