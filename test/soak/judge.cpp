#include "judge.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace soak
{

namespace
{

using std::chrono::seconds;

constexpr milliseconds loss_slack{200};
constexpr milliseconds contact{4'000};
// Delay of the longest way to an instance.
constexpr milliseconds path_delay{20};

struct case_data
{
    const sent_request& request;
    const caller_habit& habit;
    const instance& by;
    // Nothing if no server ran the request.
    const run_span* run;
};

// Returns whether the instance was impaired without a plan, from `contact`
// before the request to its end.
bool was_impaired(const case_data& it)
{
    return std::ranges::any_of(it.by.impairments,
                               [&](const impairment& span)
                               {
                                   return span.start <= it.request.ended &&
                                          span.end >=
                                              it.request.head_sent - contact;
                               });
}

bool was_stopped(const case_data& it)
{
    return it.by.stopped_at.load() != clock::time_point{};
}

// Returns whether the connection ended without a whole response to a request
// that an instance had to answer.
bool is_cut_off(const case_data& it)
{
    const auto& request = it.request;
    if (request.end != request_end::none || !request.whole ||
        request.ended >= request.sent + it.habit.deadline)
        return false;
    // The process can't have read a request that did not reach it.
    if (it.run == nullptr && it.by.has_refused(request.port))
        return false;
    return it.run != nullptr || (!request.behind_another &&
                                 request.ended >= request.sent + loss_slack);
}

// Returns whether the server was still at work in the last sixth of the grace
// time.
bool lasted_too_long(const case_data& it)
{
    const auto stopped = it.by.stopped_at.load();
    return it.run != nullptr && was_stopped(it) &&
           it.run->end >= stopped + it.by.settings().grace * 5 / 6 &&
           it.request.sent <= stopped + seconds(3);
}

// Returns whether the instance gave an answer of its own after SIGTERM, though
// a server had run the request.
bool is_replaced(const case_data& it)
{
    const auto& request = it.request;
    const auto stopped = it.by.stopped_at.load();
    return request.end == request_end::refused && it.run != nullptr &&
           was_stopped(it) && request.ended >= stopped &&
           request.ended <= stopped + it.by.settings().grace + seconds(1) &&
           request.ended < request.sent + it.habit.deadline;
}

// Returns the rule that a single request breaks.
std::optional<std::string> find_fault(const case_data& it)
{
    constexpr std::array promises_not_run{408U, 421U, 429U, 503U};
    const auto& request = it.request;
    const bool order = it.habit.route == "order";
    if (request.end == request_end::wrong)
        return "MIXED";
    if (it.run != nullptr && it.run->count > 1 && order)
        return "TWICE";
    if (request.end == request_end::refused && it.run != nullptr && order &&
        std::ranges::find(promises_not_run, request.status) !=
            promises_not_run.end())
        return "REFUSED";
    if (was_impaired(it) || lasted_too_long(it))
        return std::nullopt;
    if (is_replaced(it))
        return "LOST (answer of its own)";
    if (!is_cut_off(it))
        return std::nullopt;
    return it.run == nullptr ? "LOST (not passed on)" : "LOST";
}

std::string since(clock::time_point at, clock::time_point start)
{
    if (start == clock::time_point{})
        return "-";
    const auto age = std::chrono::duration_cast<milliseconds>(at - start);
    return std::to_string(age.count()) + " ms";
}

std::string describe(const case_data& it)
{
    const auto& request = it.request;
    const auto stopped = it.by.stopped_at.load();
    return request.id + " at " + request.instance + ", sent " +
           since(request.sent, stopped) + ", run until " +
           (it.run == nullptr ? "-" : since(it.run->end, stopped)) +
           ", ended " + since(request.ended, stopped) +
           " after SIGTERM, process ended after " +
           since(it.by.ended_at, stopped) + ", " +
           std::to_string(request.received) + " bytes received, status " +
           std::to_string(request.status) + ", open for " +
           since(request.ended, request.head_sent);
}

// Returns the ids in the log's lines on requests that were cut off.
std::string read_cut_requests(const instance& it)
{
    std::ifstream in(it.log_file());
    std::string ids;
    for (std::string line; std::getline(in, line);)
    {
        const auto at = line.find(" requests=");
        if (line.find("event=requests_cut_off") != std::string::npos &&
            at != std::string::npos)
            ids += "," + line.substr(at + 10, line.find(' ', at + 1) - at - 10);
    }
    return ids + ",";
}

// Callers that left while a server would have worked for long.
struct left_callers
{
    int arrived_late = 0;
    int long_work = 0;
    int still_at_work = 0;
};

void count_left(const case_data& it, left_callers& sum)
{
    constexpr milliseconds limit = milliseconds(500) + path_delay;
    const auto at = it.request.ended;
    const auto stopped = it.by.stopped_at.load();
    const bool in_touch =
        !was_impaired(it) && (!was_stopped(it) || at < stopped ||
                              at > stopped + it.by.settings().grace);
    if (it.request.end != request_end::left || it.run == nullptr || !in_touch)
        return;
    sum.arrived_late += it.run->start > at + limit;
    const bool lasts = it.run->start + it.habit.order.duration > at + limit;
    sum.long_work += lasts;
    sum.still_at_work += lasts && it.run->end > at + limit;
}

// Returns how many answers of the directory name an instance that had ended
// long before.
int count_stale(const caller& it, const instance_map& instances)
{
    constexpr milliseconds limit = contact + seconds(3);
    int n = 0;
    for (const auto& answer : it.directory_answers())
        n += std::ranges::any_of(
            instances,
            [&](const auto& entry)
            {
                const auto& other = *entry.second;
                const auto port = other.callers_port(path_kind::direct);
                return other.ended_at != clock::time_point{} &&
                       other.ended_at + limit < answer.at &&
                       answer.body.find(":" + std::to_string(port) + "\"") !=
                           std::string::npos;
            });
    return n;
}

} // namespace

verdict judge(const std::vector<std::unique_ptr<caller>>& callers,
              const run_map& runs, const instance_map& instances,
              review::record& log)
{
    constexpr int allowed = 3;
    verdict sum;
    left_callers left;
    int stale = 0;
    std::map<std::string, std::string> logged;
    for (const auto& [id, it] : instances)
    {
        logged[id] = read_cut_requests(*it);
        for (const auto& fault : it->faults)
        {
            ++sum.faults[fault];
            log.add(std::string(id).append(": ").append(fault));
        }
    }
    const auto judge_one = [&](const case_data& it)
    {
        const auto& habit = it.habit.name;
        const auto& id = it.request.id;
        sum.counts["served " + habit] += it.request.end == request_end::served;
        if (it.request.end == request_end::refused)
            ++sum.counts["status " + std::to_string(it.request.status) + " " +
                         habit];
        sum.counts["stopped at the deadline " + habit] +=
            it.request.end == request_end::timed_out;
        count_left(it, left);
        if (it.request.end == request_end::none && it.run == nullptr &&
            it.by.has_refused(it.request.port))
        {
            ++sum.counts["did not reach an instance " + habit];
            log.add("did not reach an instance: " + describe(it));
        }
        const auto fault = find_fault(it);
        if (fault)
        {
            ++sum.faults[*fault + " " + habit];
            log.add(*fault + ": " + describe(it));
        }
        // The body was refused, and the caller can't know.
        if (it.request.end == request_end::none && !it.request.whole &&
            it.habit.persistence.count() != 0 && !was_impaired(it) &&
            it.request.ended < it.request.head_sent + it.habit.deadline)
        {
            ++sum.counts["no answer to a part of " + habit];
            log.add("no answer to a part of " + describe(it));
        }
        if (!is_cut_off(it))
            return;
        if (!fault)
        {
            ++sum.counts["excused " + habit];
            log.add("excused: " + describe(it));
        }
        if (!was_impaired(it) && habit != "directory" &&
            logged[it.request.instance].find("," + id + ",") ==
                std::string::npos)
        {
            ++sum.faults["not logged " + habit];
            log.add("not logged: " + describe(it));
        }
    };
    for (const auto& it : callers)
    {
        stale += count_stale(*it, instances);
        for (const auto& request : it->requests())
        {
            const auto run = runs.find(request.id);
            judge_one({request, it->habits(), *instances.at(request.instance),
                       run == runs.end() ? nullptr : &run->second});
        }
    }
    if (left.arrived_late > allowed)
        sum.faults["GONE (arrived late)"] = left.arrived_late;
    if (left.still_at_work * 4 > left.long_work)
        sum.faults["GONE (still at work)"] = left.still_at_work;
    sum.counts["left during long work"] = left.long_work;
    if (stale > allowed)
        sum.faults["DRAIN (directory)"] = stale;
    return sum;
}

} // namespace soak
