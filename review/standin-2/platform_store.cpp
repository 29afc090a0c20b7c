#include "platform_store.hpp"

#include <algorithm>
#include <iterator>

namespace review2
{

namespace
{

using nlohmann::json;
using parameters = std::map<std::string, std::string>;

constexpr std::size_t page_items = 500;
constexpr milliseconds history{20'000};

constexpr std::string_view base64_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(std::string_view bytes)
{
    std::string text;
    std::uint32_t bits = 0;
    int count = 0;
    for (const unsigned char c : bytes)
    {
        bits = bits << 8U | c;
        count += 8;
        while (count >= 6)
        {
            count -= 6;
            text += base64_digits[bits >> count & 63U];
        }
    }
    if (count > 0)
        text += base64_digits[bits << (6 - count) & 63U];
    text.append((4 - text.size() % 4) % 4, '=');
    return text;
}

std::string percent_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%' || i + 2 >= text.size())
        {
            decoded += text[i];
            continue;
        }
        decoded += static_cast<char>(
            std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
        i += 2;
    }
    return decoded;
}

parameters parse_query(std::string_view target)
{
    parameters found;
    const auto mark = target.find('?');
    auto rest = mark == target.npos ? "" : target.substr(mark + 1);
    while (!rest.empty())
    {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        const auto equals = std::min(pair.find('='), pair.size());
        found[std::string(pair.substr(0, equals))] =
            percent_decode(pair.substr(std::min(equals + 1, pair.size())));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return found;
}

std::string value_of(const parameters& query, const std::string& name)
{
    const auto it = query.find(name);
    return it == query.end() ? "" : it->second;
}

milliseconds parse_duration(const std::string& text)
{
    const auto n = std::stod(text);
    return milliseconds(
        static_cast<std::int64_t>(text.ends_with("ms") ? n : n * 1'000));
}

} // namespace

platform_store::platform_store()
    : loop([this](connection& caller) { serve(caller); })
{
}

platform_store::~platform_store()
{
    const std::lock_guard lock(guard);
    stopping = true;
    changed.notify_all();
}

std::uint16_t platform_store::port() const
{
    return loop.port();
}

void platform_store::put(const std::string& key, const json& value)
{
    const std::lock_guard lock(guard);
    write(key, to_base64(value.dump()), 0);
    changed.notify_all();
}

void platform_store::serve(connection& caller)
{
    while (const auto request = read_request(caller))
    {
        const auto& line = request->start_line;
        const auto first = line.find(' ');
        const auto second = line.find(' ', first + 1);
        const auto made =
            answer(line.substr(0, first),
                   line.substr(first + 1, second - first - 1), request->body);
        const auto body = made.body.dump();
        if (!caller.send_all("HTTP/1.1 " + std::to_string(made.status) +
                             " Answer\r\nContent-Type: application/json\r\n"
                             "Store-Era: 1\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body))
            return;
    }
}

platform_store::response platform_store::answer(const std::string& method,
                                                const std::string& target,
                                                const std::string& body)
{
    const auto path = target.substr(0, target.find('?'));
    const auto query = parse_query(target);
    const auto number = [&]
    {
        return std::stoull(path.substr(path.rfind('/') + 1));
    };
    std::unique_lock lock(guard);
    expire_leases();
    if (path == "/kv-key")
        return get_item(query);
    if (path == "/kv-range")
        return get_page(query);
    if (path == "/kv-watch")
        return watch(query, lock);
    if (path == "/kv-txn")
        return commit(json::parse(body));
    if (path == "/kv-lease")
        return grant(json::parse(body));
    if (path.starts_with("/kv-keep/"))
        return renew(number());
    if (path.starts_with("/kv-lease-end/") && method == "DELETE")
    {
        end_lease(number());
        return {200, json::object()};
    }
    return {404, json::object()};
}

json platform_store::to_json(const std::string& key, const item& it)
{
    return {{"key", key},
            {"value", it.value},
            {"revision", it.revision},
            {"created", it.created},
            {"lease", it.lease}};
}

platform_store::response platform_store::get_item(const parameters& query) const
{
    const auto it = items.find(value_of(query, "key"));
    if (it == items.end())
        return {404, {{"storeRevision", revision}}};
    auto body = to_json(it->first, it->second);
    body["storeRevision"] = revision;
    return {200, std::move(body)};
}

platform_store::response platform_store::get_page(const parameters& query) const
{
    const auto prefix = value_of(query, "pathPrefix");
    auto it = query.contains("after") ? items.upper_bound(query.at("after"))
                                      : items.lower_bound(prefix);
    auto rows = json::array();
    for (; it != items.end() && rows.size() < page_items; ++it)
        if (it->first.starts_with(prefix))
            rows.push_back(to_json(it->first, it->second));
    return {200,
            {{"items", std::move(rows)},
             {"hasMore", it != items.end()},
             {"storeRevision", revision}}};
}

platform_store::response
platform_store::watch(const parameters& query,
                      std::unique_lock<std::mutex>& lock)
{
    const auto prefix = value_of(query, "pathPrefix");
    const auto after = std::stoull(value_of(query, "after"));
    const auto end =
        clock::now() + milliseconds(std::stoll(value_of(query, "waitMs")));
    if (after < forgotten)
        return {410, json::object()};
    auto found = json::array();
    const auto any = [&]
    {
        for (const auto& it : events)
            if (it.revision > after &&
                it.row.at("key").get<std::string>().starts_with(prefix))
                found.push_back(it.row);
        return stopping || !found.empty();
    };
    changed.wait_until(lock, end, any);
    return {200, {{"events", std::move(found)}, {"storeRevision", revision}}};
}

platform_store::response platform_store::commit(const json& body)
{
    const auto matches = [this](const json& it)
    {
        const auto known = items.find(it.at("key").get<std::string>());
        const auto at = known == items.end() ? 0 : known->second.revision;
        return at == it.at("revision").get<std::uint64_t>();
    };
    if (!std::ranges::all_of(body.at("expect"), matches))
        return {412, {{"items", json::array()}}};
    const auto has_lease = [this](const json& it)
    {
        const auto lease = it.at("lease").get<std::uint64_t>();
        return lease == 0 || leases.contains(lease);
    };
    if (!std::ranges::all_of(body.at("setKeys"), has_lease))
        return {404, json::object()};
    for (const auto& it : body.at("setKeys"))
        write(it.at("key"), it.at("value"), it.at("lease"));
    for (const auto& it : body.at("remove"))
        remove(it);
    changed.notify_all();
    return {200, {{"revision", revision}}};
}

platform_store::response platform_store::grant(const json& body)
{
    const auto written = body.at("ttl_time").get<std::string>();
    const auto ttl = parse_duration(written);
    leases[++last_lease] = {ttl, clock::now() + ttl};
    return {200, {{"lease", last_lease}, {"ttl_time", written}}};
}

platform_store::response platform_store::renew(std::uint64_t lease)
{
    const auto it = leases.find(lease);
    if (it == leases.end())
        return {404, json::object()};
    it->second.end = clock::now() + it->second.ttl;
    return {200, json::object()};
}

void platform_store::add_event(json row)
{
    const auto now = clock::now();
    events.push_back({now, revision, std::move(row)});
    while (now - events.front().at > history)
    {
        forgotten = events.front().revision;
        events.pop_front();
    }
}

void platform_store::write(const std::string& key, const std::string& value,
                           std::uint64_t lease)
{
    auto& it = items[key];
    it.value = value;
    it.revision = ++revision;
    it.created = it.created == 0 ? revision : it.created;
    it.lease = lease;
    add_event(to_json(key, it));
}

void platform_store::remove(const std::string& key)
{
    if (items.erase(key) > 0)
        add_event({{"key", key}, {"revision", ++revision}, {"removed", true}});
}

void platform_store::end_lease(std::uint64_t lease)
{
    leases.erase(lease);
    std::vector<std::string> ended;
    for (const auto& [key, it] : items)
        if (it.lease == lease)
            ended.push_back(key);
    std::ranges::for_each(ended, [this](const auto& key) { remove(key); });
    changed.notify_all();
}

void platform_store::expire_leases()
{
    std::vector<std::uint64_t> ended;
    for (const auto& [lease, it] : leases)
        if (clock::now() > it.end)
            ended.push_back(lease);
    std::ranges::for_each(ended, [this](auto lease) { end_lease(lease); });
}

} // namespace review2
