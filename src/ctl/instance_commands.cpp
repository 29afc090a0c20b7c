#include <parsleyplank/ctl/fleet_view.hpp>
#include <parsleyplank/ctl/instance_commands.hpp>
#include <parsleyplank/store/http_instance_list.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace parsleyplank::ctl
{

namespace
{

std::string status_line(const instance_view& view)
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

// Returns the instance id in a request id. A request id has the form
// INSTANCE-INCARNATION-NUMBER; the instance id itself may contain dashes, so it
// is split from the end.
std::string instance_of_request(const std::string& request)
{
    const auto number_separator = request.rfind('-');
    const auto incarnation_separator =
        number_separator == std::string::npos || number_separator == 0
            ? std::string::npos
            : request.rfind('-', number_separator - 1);
    if (incarnation_separator == std::string::npos)
        throw usage_error("'" + request + "' is not a request id");
    return request.substr(0, incarnation_separator);
}

} // namespace

int show_status(const options& o)
{
    store::http_instance_list list(o.list);
    const auto views = view_fleet(list);
    nlohmann::json all = nlohmann::json::array();
    std::ranges::for_each(views,
                          [&](const instance_view& view)
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
        std::ranges::all_of(views, [](const instance_view& view)
                            { return view.status.has_value(); });
    return answered ? exit_done : exit_unconfirmed;
}

int explain(const options& o, const std::string& request)
{
    const auto response =
        call_admin(find_instance(o, instance_of_request(request)), "GET",
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

int show_metrics(const std::string& address, std::uint16_t port)
{
    store::http_settings endpoint;
    endpoint.address = address;
    endpoint.port = port;
    store::http_call http(endpoint);
    const auto response = http.get("/metrics");
    if (response.status != 200)
        throw error(http.authority() + ": HTTP status " +
                    std::to_string(response.status));
    std::istringstream lines(response.body);
    for (std::string line; std::getline(lines, line);)
        if (!line.starts_with('#') && !line.ends_with(" 0") &&
            line.find("_bucket{") == std::string::npos)
            std::cout << line << '\n';
    return exit_done;
}

int drain(const options& o, const std::string& instance)
{
    const auto response =
        call_admin(find_instance(o, instance), "POST", "/drain");
    if (response.status != 202)
        throw error("instance '" + instance + "' refused: " + response.body);
    std::cout << instance << " is draining\n";
    return exit_done;
}

} // namespace parsleyplank::ctl
