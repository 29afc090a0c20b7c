#ifndef PARSLEYPLANK_EDGE_SETTINGS_HPP
#define PARSLEYPLANK_EDGE_SETTINGS_HPP

// Settings of one edge process, read from a TOML file: its identity and
// location, its addresses, and the bounds of the deployment. The configuration
// of services comes from the store.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/steering/server_registry.hpp>

#include <filesystem>
#include <map>
#include <string>
#include <string_view>

namespace parsleyplank::edge
{

// Bounds of the deployment. The durations are upper limits that callers or the
// operator rely on.
struct fleet_bounds
{
    // Time in which an unresponsive instance must be considered failed.
    milliseconds contact{4'000};
    // Time after which a draining backend server must get no new requests.
    milliseconds drain{2'500};
    // Time between the stop signal and the kill of the process.
    milliseconds grace{6'000};
    // Time for which callers may cache an answer of the directory.
    milliseconds directory_ttl{5'000};
    // Retry limit of the whole fleet: a fraction of the requests, plus a
    // constant number of retries.
    double retry_ratio = 0.2;
    double retry_slack = 50;
    // Largest fraction of a region's requests that may shift to another region
    // within 2 s.
    double shift_cap = 0.15;
    // Time after which a withdrawn API key must be refused.
    milliseconds revoke{5'000};
    // Whether the revoke bound also holds for an instance that can't reach the
    // store. Such an instance then refuses requests with an API key.
    bool strict_keys = false;
};

// Returns the time without a sign of life after which an instance counts as
// failed: several missed digests, well before the bound on contact.
milliseconds contact_timeout(const fleet_bounds& bounds);

// The duty to report usage to the platform.
struct usage_settings
{
    // Address of the platform for reports; port 0 if there is none.
    steering::server_endpoint platform;
    // Names of the duties that the platform knows, with commas between them.
    std::string duties;
    // Length of the windows in which requests are counted, and the time after
    // the end of a window in which its report is due.
    milliseconds window{5'000};
    milliseconds late{10'000};
    // Time in which the duty must not return to an instance that has lost it,
    // and time that an instance has to stop after a pause.
    milliseconds lease{3'000};
    milliseconds thaw{300};
};

// Returns whether the duty with this name is to be done.
bool has_duty(const usage_settings& usage, std::string_view name);

struct settings
{
    // [instance]
    instance_id id;
    region_id region;
    failure_domain_id domain;
    std::string address;
    std::int64_t memory_mb = 256;
    // Number of descriptors that the process may open; 0: as the system tells.
    std::int64_t max_descriptors = 0;
    // Bandwidth of the link in Mbit/s; 0 if unknown.
    double link_mbps = 0;

    // [listen]
    steering::server_endpoint callers;
    steering::server_endpoint readiness;
    steering::server_endpoint directory;
    // Address of the status and metrics pages; unset if they are not served.
    steering::server_endpoint admin;
    // First of two consecutive ports for the messages between instances.
    std::uint16_t peer_port = 0;

    // [store]
    steering::server_endpoint store;

    // [failure_domains]: the region of each failure domain.
    std::map<failure_domain_id, region_id> regions;

    // [bounds]
    fleet_bounds bounds;

    // [usage]
    usage_settings usage;

    // [logging]
    std::string log_level = "INFO";
    // Largest number of log lines per second. Further lines are dropped and
    // counted.
    std::int64_t log_lines_per_s = 400;
};

// Returns the largest response of the store, or of a peer that relays it, that
// an instance accepts, in bytes. A part of its memory: several may be received
// at a time, and a buffer that grows is held twice.
std::size_t max_store_response_bytes(const settings& config);

// Parses the text of a settings file. The name is used as the file name in
// messages. Throws config_error, which lists every problem with file and line.
settings parse_settings(std::string_view text, const std::string& name);

// Reads and parses a settings file. Throws config_error as parse_settings does,
// and also throws if the file can't be read.
settings read_settings(const std::filesystem::path& file);

} // namespace parsleyplank::edge

#endif
