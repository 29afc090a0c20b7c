#include <parsleyplank/edge/admission_control.hpp>
#include <parsleyplank/edge/traffic_state.hpp>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace parsleyplank::edge
{

namespace
{

constexpr double report_units_per_request = 10;
constexpr double part_units = 255;
constexpr unsigned priority_bits = 8;

std::uint32_t to_units(double per_second)
{
    constexpr double max_units = 1e9;
    return static_cast<std::uint32_t>(std::clamp(
        std::round(per_second * report_units_per_request), 0.0, max_units));
}

std::uint32_t pack_level(const steering::admission_level& level)
{
    return (std::uint32_t(level.boundary.customer) << (2 * priority_bits)) |
           (std::uint32_t(level.boundary.route) << priority_bits) |
           static_cast<std::uint32_t>(std::round(level.part * part_units));
}

steering::admission_level unpack_level(std::uint32_t packed)
{
    constexpr std::uint32_t mask = UINT8_MAX;
    return {{static_cast<std::uint8_t>((packed >> (2 * priority_bits)) & mask),
             static_cast<std::uint8_t>((packed >> priority_bits) & mask)},
            (packed & mask) / part_units};
}

steering::peer_admission read_report(const admission_report& report)
{
    return {unpack_level(report.level),
            {report.arrived / report_units_per_request,
             report.admitted / report_units_per_request,
             report.unmet / report_units_per_request,
             report.use / report_units_per_request}};
}

const std::vector<steering::peer_admission>&
peers_of(const traffic_state& state, const service_id& service)
{
    static const std::vector<steering::peer_admission> none;
    const auto& reported = state.snapshot->admission;
    const auto it = reported.find(service_number(service));
    return it == reported.end() ? none : it->second;
}

// Returns the requests per slot of the service in this region: those of this
// instance and those of others by the reports of the servers.
double find_use(traffic_state& state, const service_id& service, time_point now)
{
    double slots = 0;
    double own = 0;
    for (const auto& it : servers_of(state, service))
    {
        if (it->region != state.config.region)
            continue;
        slots += it->slots;
        if (const auto load = state.loads.find(it->id);
            load != state.loads.end())
            own += static_cast<double>(load->second.in_flight.size());
    }
    const auto others = steering::region_load_per_slot(
        state.region_loads[{service, state.config.region}],
        state.options.health, now);
    return slots > 0 ? own / slots + others : 0;
}

// Place of the rank among those of the service, from 0 to below 1.
double relative_rank(const steering::service_admission& service,
                     const steering::request_rank& rank)
{
    const auto before = std::ranges::count_if(
        service.ranks,
        [&](const steering::request_rank& it) { return it < rank; });
    return static_cast<double>(before) /
           static_cast<double>(std::max<std::size_t>(1, service.ranks.size()));
}

double age_of(const traffic_state& state, const admission_request& request)
{
    const auto it = state.admission.limits.find(request.route.id);
    return it == state.admission.limits.end()
               ? 0
               : steering::age_of(it->second, request.time_left);
}

std::string describe(const service_id& service,
                     const steering::level_change& change)
{
    std::ostringstream text;
    text << " service=" << service.value
         << " level=" << steering::to_string(change.level.boundary)
         << " part=" << change.level.part
         << " arrived=" << change.region.arrived
         << " admitted=" << change.region.admitted
         << " unmet=" << change.region.unmet << " use=" << change.region.use;
    return text.str();
}

} // namespace

bool has_ranks(const traffic_state& state, const service_id& service)
{
    return state.admission.services.contains(service);
}

bool is_most_urgent(const traffic_state& state, const service_id& service,
                    const steering::traffic_route& route,
                    const steering::traffic_customer* customer)
{
    const auto it = state.admission.services.find(service);
    return it != state.admission.services.end() &&
           rank_of(route, customer) <= it->second.ranks.front();
}

void adopt_ranks(traffic_state& state)
{
    auto& admission = state.admission;
    const auto& routing = state.snapshot->routing;
    if (!routing || !routing->config || admission.routing == routing)
        return;
    admission.routing = routing;
    std::set<service_id> ranked;
    for (const auto& it : routing->config->services)
    {
        auto ranks = steering::find_ranks(*routing->config, it.id);
        if (ranks.size() < 2)
            continue;
        steering::set_ranks(admission.services[it.id], std::move(ranks));
        ranked.insert(it.id);
    }
    const auto gone = [&](const auto& it)
    {
        return !ranked.contains(it.first);
    };
    std::erase_if(admission.services, gone);
    std::erase_if(admission.returns, gone);
    std::erase_if(admission.waits, gone);
    std::erase_if(admission.limits,
                  [&](const auto& it)
                  {
                      return std::ranges::find(routing->config->routes,
                                               it.first,
                                               &steering::traffic_route::id) ==
                             routing->config->routes.end();
                  });
}

steering::request_rank rank_of(const steering::traffic_route& route,
                               const steering::traffic_customer* customer)
{
    return steering::make_rank(customer == nullptr ? 0 : customer->priority,
                               route.priority);
}

std::optional<steering::admission_level>
refuse_by_rank(traffic_state& state, const admission_request& request,
               std::int64_t unix_ms, time_point now)
{
    auto& admission = state.admission;
    const auto it = admission.services.find(request.service);
    if (it == admission.services.end())
        return std::nullopt;
    const auto age = age_of(state, request);
    steering::record_limit(admission.limits[request.route.id],
                           request.time_left);
    std::string subject = request.route.id.value;
    subject += '\n';
    if (request.customer != nullptr)
        subject += request.customer->id.value;
    subject += '\n';
    subject += request.object;
    const auto place =
        steering::place_in_rank(subject, age, unix_ms, admission.options);
    auto& service = it->second;
    if (steering::admit_request(service,
                                rank_of(request.route, request.customer), place,
                                admission.options, now))
        return std::nullopt;
    return steering::level_at(service.ranks, service.in_force);
}

void note_placed(traffic_state& state, const service_id& service)
{
    if (has_ranks(state, service))
        steering::count_placed(state.admission.returns[service]);
}

void note_unmet(traffic_state& state, const service_id& service, time_point now)
{
    const auto it = state.admission.services.find(service);
    if (it != state.admission.services.end())
        steering::count_unmet(it->second, now);
}

void note_wait(traffic_state& state, const service_id& service,
               const steering::ranked_server& chosen,
               std::chrono::microseconds latency)
{
    if (has_ranks(state, service))
        steering::record_wait(state.admission.waits[service], chosen, latency,
                              state.admission.wait_options);
}

std::optional<steering::return_time>
choose_return(traffic_state& state, const admission_request& request,
              milliseconds min_wait, time_point now)
{
    const auto it = state.admission.services.find(request.service);
    if (it == state.admission.services.end() ||
        !steering::has_level(it->second))
        return std::nullopt;
    const auto& times = times_of(state, request.route, request.service);
    const steering::refused_caller caller{
        request.time_left,
        milliseconds(static_cast<std::int64_t>(times.mean_ms)), min_wait,
        relative_rank(it->second, rank_of(request.route, request.customer)),
        age_of(state, request)};
    std::uniform_real_distribution<double> spread(0, 1);
    return steering::schedule_return(state.admission.returns[request.service],
                                     caller, spread(state.rng),
                                     state.admission.return_options, now);
}

void report_admission(traffic_state& state, traffic_report& report,
                      time_point now)
{
    const auto& options = state.admission.options;
    for (auto& [service, it] : state.admission.services)
    {
        const auto& peers = peers_of(state, service);
        const auto change =
            steering::step_admission(it, peers, find_use(state, service, now),
                                     state.snapshot->claim_delay, options, now);
        if (change)
            report.level_changes.push_back(describe(service, *change));
        if (steering::is_overloaded(it, peers, options, now))
            report.admission.push_back(
                {service,
                 {steering::level_at(it.ranks, it.proposed), it.rates}});
    }
}

std::vector<admission_report>
make_admission_reports(const std::vector<known_admission>& known)
{
    std::vector<admission_report> reports;
    reports.reserve(known.size());
    for (const auto& [service, it] : known)
        reports.push_back({service_number(service), pack_level(it.level),
                           to_units(it.counts.arrived),
                           to_units(it.counts.admitted),
                           to_units(it.counts.unmet), to_units(it.counts.use)});
    return reports;
}

void add_admission(steering_snapshot& snapshot, const fleet_view& fleet,
                   const region_id& region, const fleet_options& options,
                   time_point now)
{
    for (const auto& [id, peer] : fleet.peers)
        if (peer.record.region == region && is_responsive(peer, options, now))
            for (const auto& it : peer.digest.admission)
                snapshot.admission[it.service].push_back(read_report(it));
}

} // namespace parsleyplank::edge
