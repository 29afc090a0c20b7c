#include <parsleyplank/edge/response_headers.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <vector>

namespace parsleyplank::edge
{

namespace
{

using proxy::header_value;

constexpr unsigned status_unavailable = 503;
constexpr unsigned first_server_error = 500;

// Returns the elements of a list header, which may be given in several fields.
std::vector<std::string_view> list_elements(const proxy::http::fields& fields,
                                            std::string_view name)
{
    constexpr std::string_view blanks = " \t";
    std::vector<std::string_view> found;
    const auto [first, last] = fields.equal_range({name.data(), name.size()});
    for (auto it = first; it != last; ++it)
    {
        std::string_view rest(it->value().data(), it->value().size());
        for (bool more = true; more;)
        {
            const auto comma = rest.find(',');
            more = comma != rest.npos;
            auto element = rest.substr(0, comma);
            rest.remove_prefix(more ? comma + 1 : rest.size());
            element.remove_prefix(
                std::min(element.find_first_not_of(blanks), element.size()));
            element = element.substr(0, element.find_last_not_of(blanks) + 1);
            found.push_back(element);
        }
    }
    return found;
}

// Reads the first figure of a list and removes it from the text. Returns
// nullopt if it is missing or not a number of at least 0.
std::optional<double> next_figure(std::string_view& text)
{
    constexpr std::string_view blanks = " \t";
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    double value = 0;
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || !std::isfinite(value) || value < 0)
        return std::nullopt;
    const auto comma = text.find(',');
    text = comma == std::string_view::npos ? std::string_view()
                                           : text.substr(comma + 1);
    return value;
}

} // namespace

proxy::response_marks marks_of(const header_names& names)
{
    return {names.request_id, names.response_seal, names.not_executed};
}

std::optional<steering::reported_load>
read_load(const header_names& names, const proxy::response_message& response)
{
    auto text = header_value(response, names.server_load);
    std::array<double, 3> values{};
    for (auto& value : values)
    {
        const auto figure = next_figure(text);
        if (!figure)
            return std::nullopt;
        value = *figure;
    }
    steering::reported_load load{values[0], values[1], values[2], {}};
    // Servers of an earlier version do not report their pace.
    constexpr double usual_pace = 100;
    if (const auto pace = next_figure(text); pace && *pace > 0)
        load.pace = *pace / usual_pace;
    return load;
}

read_notice_result read_notice(const header_names& names,
                               const proxy::response_message& response)
{
    // Bounds what is logged of a value.
    constexpr std::size_t max_logged_length = 64;
    read_notice_result result;
    auto& notice = result.notice;
    const auto note_problem =
        [&](std::string_view header, std::string_view value)
    {
        result.problem = std::string(header) + ": " +
                         std::string(value.substr(0, max_logged_length));
    };
    notice.tells_limit = header_value(response, names.not_executed).empty() &&
                         response.result_int() < first_server_error;
    for (const auto text : list_elements(response, names.server_limit))
    {
        const auto limit = steering::parse_rate(text);
        notice.tells_limit = false;
        if (!limit)
            note_problem(names.server_limit, text);
        else
            notice.limit = std::min(*limit, notice.limit.value_or(*limit));
    }
    notice.leaving =
        std::ranges::count(list_elements(response, names.server_leaving), "1") >
        0;
    if (response.result_int() != status_unavailable)
        return result;
    for (const auto text : list_elements(response, names.retry_after))
    {
        const auto pause = steering::parse_pause(text);
        if (!pause)
            note_problem(names.retry_after, text);
        else
            notice.pause = std::max(*pause, notice.pause.value_or(*pause));
    }
    return result;
}

} // namespace parsleyplank::edge
