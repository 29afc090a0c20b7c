#ifndef PARSLEYPLANK_TEST_SUPPORT_WHOLE_INSTANCE_HPP
#define PARSLEYPLANK_TEST_SUPPORT_WHOLE_INSTANCE_HPP

// Instances with all their threads, in the test's own process: they share a
// store in memory, and exchange digests over loopback.

#include <parsleyplank/edge/control_plane.hpp>

#include <support/edge_fixture.hpp>
#include <support/memory_store.hpp>

#include <atomic>
#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace parsleyplank::test
{

// An instance, which ends some time after a stop signal.
class whole_instance
{
public:
    static constexpr milliseconds grace{4'000};

    whole_instance(int number, const std::string& region,
                   const edge::adapter& adapter,
                   const std::shared_ptr<memory_store_data>& data,
                   const edge::control_options& options, double link_mbps = 0)
    {
        config.link_mbps = link_mbps;
        config.id = instance_id("edge-" + std::to_string(number));
        config.region = region_id(region);
        config.domain = failure_domain_id(region + "-a");
        config.regions[config.domain] = config.region;
        config.address = "127.0.0.1";
        listen_on(ports, config);
        config.bounds.grace = grace;
        traffic =
            std::make_unique<edge::traffic_plane>(config, adapter, counters);
        control = std::make_unique<edge::control_plane>(
            config, adapter,
            [data, cut = cut]
            { return std::make_unique<memory_store>(data, cut); },
            *traffic, counters, options);
        thread = std::thread([this] { control->run(); });
    }

    ~whole_instance()
    {
        wait();
    }

    whole_instance(const whole_instance&) = delete;
    whole_instance& operator=(const whole_instance&) = delete;

    // Waits until the instance has ended.
    void wait()
    {
        if (thread.joinable())
            thread.join();
    }

    void cut_off_from_store(memory_store_data& data)
    {
        cut_off(data, cut);
    }

    // Sends a read of the object; returns the status.
    int read(const std::string& object) const
    {
        raw_connection caller(config.callers.port);
        caller.send(edge_fixture::request(
            "GET", "/read/1", object,
            "Parsleyplank-Affinity-Key: " + object + "\r\n"));
        return caller.receive().status;
    }

    std::uint16_t callers_port() const
    {
        return config.callers.port;
    }

    // Returns the body of the directory's answer to callers of the region.
    std::string look_up(const std::string& region) const
    {
        raw_connection caller(config.directory.port);
        caller.send("GET /resolve?name=shop.example&region=" + region +
                    "&zone=" + region + "-a HTTP/1.1\r\nHost: a\r\n\r\n");
        return caller.receive().body;
    }

private:
    const instance_ports ports;
    const store_cut cut = std::make_shared<std::atomic<bool>>(false);
    edge::settings config;
    telemetry::metrics counters;
    std::unique_ptr<edge::traffic_plane> traffic;
    std::unique_ptr<edge::control_plane> control;
    std::thread thread;
};

// Instances that serve one idempotent route from the servers of one service.
class instance_fleet
{
public:
    instance_fleet()
    {
        adapter.decode_configuration = [this](const std::string& /*value*/)
        {
            decoding = true;
            std::this_thread::sleep_for(decoding_time.load());
            decoding = false;
            return make_configuration();
        };
        adapter.decode_server =
            [this](const backend_server_id& id, const std::string& /*value*/,
                   const auto& /*regions*/, time_point /*now*/)
        {
            return described.at(id);
        };
        write_key(*data, configuration_key(), "record");
    }

    ~instance_fleet()
    {
        stop();
    }

    instance_fleet(const instance_fleet&) = delete;
    instance_fleet& operator=(const instance_fleet&) = delete;

    // Adds a server on a loopback port; call before add_instance().
    void add_server(const std::string& region, std::uint16_t port)
    {
        register_server(describe_server(region, port));
    }

    // Writes the registration of a server.
    void register_server(const backend_server_id& id)
    {
        write_key(*data, adapter.layout.server_prefix + id.value, "record");
    }

    // Describes a server on a loopback port, which is not registered yet; call
    // before add_instance().
    backend_server_id describe_server(const std::string& region,
                                      std::uint16_t port)
    {
        steering::backend_server it;
        it.id =
            backend_server_id("server-" + std::to_string(described.size() + 1));
        it.service = service_id("parts");
        it.endpoint = {"127.0.0.1", port};
        it.region = region_id(region);
        it.domain = failure_domain_id(region + "-a");
        it.slots = 4;
        described[it.id] = it;
        return it.id;
    }

    std::string configuration_key() const
    {
        return adapter.layout.configuration_key;
    }

    void add_instance(const std::string& region, double link_mbps = 0)
    {
        const int number = static_cast<int>(instances.size()) + 1;
        instances.push_back(std::make_unique<whole_instance>(
            number, region, adapter, data, options, link_mbps));
    }

    // Waits until each instance knows the others and has chosen whom it
    // watches.
    void settle()
    {
        std::this_thread::sleep_for(options.tick_interval * 4);
        // Ends the watches that wait; each instance then chooses anew.
        write_key(*data, configuration_key(), "record");
        std::this_thread::sleep_for(options.tick_interval);
    }

    // Stops all instances. Returns how long the last one took to end.
    milliseconds stop()
    {
        const auto start = std::chrono::steady_clock::now();
        // All instances of this process get the signal.
        if (!instances.empty())
            std::raise(SIGTERM);
        std::ranges::for_each(instances, [](const auto& it) { it->wait(); });
        const auto end = std::chrono::steady_clock::now();
        close_store(*data);
        instances.clear();
        return std::chrono::ceil<milliseconds>(end - start);
    }

    // For instances that are added later.
    edge::control_options options =
        edge::control_options_for(edge::fleet_bounds());
    std::shared_ptr<memory_store_data> data =
        std::make_shared<memory_store_data>();
    std::vector<std::unique_ptr<whole_instance>> instances;
    // Time for which a configuration that arrives keeps a control thread busy,
    // and whether one is being decoded.
    std::atomic<milliseconds> decoding_time{milliseconds(0)};
    std::atomic<bool> decoding{false};

private:
    static steering::traffic_config make_configuration()
    {
        steering::traffic_config config;
        config.version = epoch(1);
        config.services.push_back(
            {service_id("parts"), "/healthz", 100, milliseconds(0), 0});
        steering::traffic_route route;
        route.id = route_id("read");
        route.host = "shop.example";
        route.path_prefix = "/read/";
        route.repeat = steering::repeat_rule::idempotent;
        route.services = {{service_id("parts"), 1}};
        route.affinity = true;
        config.routes = {route};
        return config;
    }

    edge::adapter adapter = platform::make_adapter();
    std::map<backend_server_id, steering::backend_server> described;
};

} // namespace parsleyplank::test

#endif
