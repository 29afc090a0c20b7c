#include <parsleyplank/core/error.hpp>
#include <parsleyplank/load/caller.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iterator>

namespace parsleyplank::load
{

namespace
{

// Reasons of one instance; another one may accept the request.
bool is_refusal_of_instance(const attempt_result& result)
{
    constexpr std::array reasons{refusal_reason::draining,
                                 refusal_reason::stale_state};
    return !result.sent ||
           std::ranges::any_of(reasons, [&](refusal_reason r)
                               { return to_string(r) == result.reason; });
}

} // namespace

lookup_answer parse_lookup_answer(std::string_view body)
{
    try
    {
        const auto json = nlohmann::json::parse(body);
        lookup_answer answer;
        answer.region = json.at("region").get<std::string>();
        answer.ttl = milliseconds(json.at("ttl_ms").get<std::int64_t>());
        const auto& list = json.at("instances");
        std::ranges::transform(list, std::back_inserter(answer.instances),
                               [](const nlohmann::json& i)
                               {
                                   return endpoint{
                                       i.at("address").get<std::string>(),
                                       i.at("port").get<std::uint16_t>(),
                                       i.at("weight").get<double>()};
                               });
        return answer;
    }
    catch (const nlohmann::json::exception& e)
    {
        throw codec_error(std::string("look-up response: ") + e.what());
    }
}

std::vector<endpoint> order_to_try(const lookup_answer& answer,
                                   std::mt19937_64& random)
{
    auto list = answer.instances;
    std::vector<double> weights;
    std::ranges::transform(list, std::back_inserter(weights),
                           [](const endpoint& e)
                           { return std::max(e.weight, 0.0); });
    if (std::ranges::none_of(weights, [](double w) { return w > 0; }))
        return list;
    std::discrete_distribution<std::ptrdiff_t> pick(weights.begin(),
                                                    weights.end());
    const auto first = list.begin() + pick(random);
    std::rotate(list.begin(), first, std::next(first));
    return list;
}

next_step decide(const request_progress& progress, const attempt_result& result)
{
    const auto outcome = result.sent ? result.outcome : run_outcome::not_run;
    if (result.sent && result.answered && outcome == run_outcome::result)
        return next_step::finish;
    if (outcome == run_outcome::not_run)
    {
        if (is_refusal_of_instance(result) && progress.untried_instances > 0)
            return next_step::next_instance;
        if (!progress.may_have_run)
            return next_step::finish;
    }
    if (progress.kind == execution::once || progress.repeats_left <= 0)
        return next_step::give_up;
    return next_step::repeat;
}

} // namespace parsleyplank::load
