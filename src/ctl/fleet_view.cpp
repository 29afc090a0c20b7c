#include <parsleyplank/ctl/fleet_view.hpp>

#include <algorithm>

namespace parsleyplank::ctl
{

namespace
{

instance_view view_instance(const store::listed_instance& info)
{
    instance_view view{info, std::nullopt, {}};
    try
    {
        const auto response = call_admin(info, "GET", "/status");
        view.status = nlohmann::json::parse(response.body);
    }
    catch (const std::exception& ec)
    {
        view.problem = ec.what();
    }
    return view;
}

} // namespace

store::http_response call_admin(const store::listed_instance& info,
                                const std::string& method,
                                const std::string& path)
{
    store::http_settings http;
    http.address = info.address;
    http.port = info.admin_port;
    store::http_call call(http);
    return method == "POST" ? call.post(path, {}, store::connection_use::fresh,
                                        milliseconds(0))
                            : call.get(path);
}

std::vector<instance_view> view_fleet(store::instance_list& list)
{
    auto listed = list.read();
    std::ranges::sort(listed, {}, &store::listed_instance::id);
    std::vector<instance_view> views;
    std::ranges::transform(listed, std::back_inserter(views), view_instance);
    return views;
}

std::optional<epoch> config_epoch(const instance_view& view)
{
    if (!view.status)
        return std::nullopt;
    return epoch(view.status->value("config_epoch", std::uint64_t(0)));
}

confirmation_state wait_until_confirmed(store::instance_list& list,
                                        epoch wanted, milliseconds limit,
                                        const clock& time,
                                        const std::function<void()>& pause)
{
    const auto until = time.now() + limit;
    for (;;)
    {
        confirmation_state outcome;
        std::ranges::for_each(
            view_fleet(list),
            [&](const instance_view& view)
            {
                const auto confirmed_epoch = config_epoch(view);
                auto& ids = confirmed_epoch && *confirmed_epoch >= wanted
                                ? outcome.confirmed
                                : outcome.unconfirmed;
                ids.push_back(view.info.id);
            });
        if (outcome.unconfirmed.empty() || time.now() >= until)
            return outcome;
        pause();
    }
}

} // namespace parsleyplank::ctl
