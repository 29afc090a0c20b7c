#ifndef PARSLEYPLANK_TEST_SUPPORT_EDGE_FIXTURE_HPP
#define PARSLEYPLANK_TEST_SUPPORT_EDGE_FIXTURE_HPP

// A traffic plane on loopback whose backend servers are raw servers, with one
// idempotent and two at-most-once routes, one of which has servers of its own.

#include <parsleyplank/edge/traffic_plane.hpp>

#include <platform/adapter.hpp>
#include <support/raw_connection.hpp>
#include <support/raw_server.hpp>
#include <support/reserved_port.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace parsleyplank::test
{

// Makes an instance with these settings listen on the ports.
inline void listen_on(const instance_ports& ports, edge::settings& config)
{
    config.callers = {"127.0.0.1", ports.callers.number()};
    config.readiness = {"127.0.0.1", ports.readiness.number()};
    config.directory = {"127.0.0.1", ports.directory.number()};
    config.peer_port = ports.peers.first.number();
}

// Returns the value of a header of a request in text form; empty if it is
// missing.
inline std::string header_of(const std::string& request,
                             const std::string& name)
{
    const auto at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const auto from = at + name.size() + 4;
    return request.substr(from, request.find("\r\n", from) - from);
}

// Returns a complete response that echoes the request id.
inline std::string echo_response(const std::string& request,
                                 const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nParsleyplank-Request-Id: " +
           header_of(request, "Parsleyplank-Request-Id") +
           "\r\nParsleyplank-Response-Seal: seal\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

class edge_fixture
{
public:
    explicit edge_fixture(bool strict_keys = false,
                          std::uint32_t memory_mb = 256,
                          edge::usage_settings usage = {})
        : adapter(platform::make_adapter())
    {
        config.usage = std::move(usage);
        config.bounds.strict_keys = strict_keys;
        config.memory_mb = memory_mb;
        config.id = instance_id("edge-1");
        config.region = region_id("oslo");
        config.domain = failure_domain_id("oslo-a");
        config.address = "127.0.0.1";
        listen_on(ports, config);
        plane =
            std::make_unique<edge::traffic_plane>(config, adapter, counters);
    }

    // Adds a server of the service; call before publish().
    raw_server& add_server(raw_server::responder respond)
    {
        servers.push_back(std::make_unique<raw_server>(std::move(respond)));
        add_server_at("parts", servers.back()->port());
        return *servers.back();
    }

    // Adds a server of a service that the test runs itself; call before
    // publish().
    void add_server_at(const std::string& service, std::uint16_t port)
    {
        steering::backend_server it;
        auto& same_service = described[service_id(service)];
        it.id = backend_server_id((service == "parts" ? "" : service + "-") +
                                  "server-" +
                                  std::to_string(same_service.size() + 1));
        it.service = service_id(service);
        it.endpoint = {"127.0.0.1", port};
        it.domain = config.domain;
        it.region = config.region;
        it.slots = 4;
        same_service.push_back(
            std::make_shared<const steering::backend_server>(it));
    }

    // Publishes the routes and servers with the given time of the last contact
    // with the store.
    void
    publish(time_point last_store_contact = std::chrono::steady_clock::now())
    {
        auto traffic = std::make_shared<steering::traffic_config>();
        traffic->version = epoch(1);
        traffic->keys_required = true;
        // An instance has no tokens when it starts.
        constexpr double unlimited_rate = 1'000'000;
        for (const auto* service : {"parts", "broken"})
            traffic->services.push_back(
                {service_id(service), "/healthz", 100, milliseconds(0), 0});
        traffic->customers.push_back({customer_id("shop"),
                                      {"key-1"},
                                      0,
                                      token_rate(unlimited_rate),
                                      tokens(unlimited_rate),
                                      {}});
        traffic->routes.push_back(make_route("read", true));
        traffic->routes.push_back(make_route("order", false));
        traffic->routes.push_back(make_route("broken", false));
        traffic->routes.back().services = {{service_id("broken"), 1}};
        auto next = std::make_shared<edge::steering_snapshot>();
        next->routing = std::make_shared<const steering::routing_table>(
            steering::make_routing_table(traffic));
        next->servers = described;
        next->members.push_back({config.id, config.domain, config.region, {}});
        next->instances.push_back(
            {config.id, config.callers, config.domain, config.region});
        next->last_store_contact = last_store_contact;
        next->confirmed = confirmed;
        next->draining = stop_at.has_value();
        next->stop_at = stop_at;
        next->late_from = late_from;
        next->token_peers = next->members;
        next->versions = versions;
        plane->publish(next);
    }

    // Returns the text of a request. `more` holds further header lines.
    static std::string request(const std::string& method,
                               const std::string& path, const std::string& id,
                               const std::string& more = "",
                               const std::string& body = "",
                               const std::string& key = "key-1")
    {
        const auto length =
            body.empty()
                ? ""
                : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        return method + " " + path +
               " HTTP/1.1\r\nHost: shop.example\r\nParsleyplank-Request-Id: " +
               id + "\r\nParsleyplank-Deadline-Ms: 10000\r\nApi-Key: " + key +
               "\r\n" + more + length + "\r\n" + body;
    }

    const instance_ports ports;
    edge::settings config;
    // Whether the published state may be used.
    bool confirmed = true;
    // Time at which the process ends, if it is draining.
    std::optional<time_point> stop_at;
    // Time from which requests must end before that by their deadlines.
    std::optional<time_point> late_from;
    std::unordered_map<service_id, edge::version_policy> versions;
    edge::adapter adapter;
    telemetry::metrics counters;
    std::vector<std::unique_ptr<raw_server>> servers;
    std::unordered_map<service_id, std::vector<steering::server_ptr>> described;
    std::unique_ptr<edge::traffic_plane> plane;

private:
    static steering::traffic_route make_route(const std::string& name,
                                              bool idempotent)
    {
        steering::traffic_route route;
        route.id = route_id(name);
        route.host = "shop.example";
        route.path_prefix = "/" + name + "/";
        route.repeat = idempotent ? steering::repeat_rule::idempotent
                                  : steering::repeat_rule::at_most_once;
        route.services = {{service_id("parts"), 1}};
        route.max_attempts = 2;
        return route;
    }
};

} // namespace parsleyplank::test

#endif
