#include "platform_store.hpp"

#include <algorithm>
#include <cstdlib>

namespace review
{

namespace
{

using nlohmann::json;

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        const auto left = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = (group << 8) |
                    (k < left ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += k <= left ? alphabet[(group >> (18 - 6 * k)) & 63U] : '=';
    }
    return text;
}

std::string from_base64(const std::string& text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text)
    {
        const auto at = alphabet.find(c);
        if (at == std::string_view::npos)
            break;
        group = (group << 6) | static_cast<std::uint32_t>(at);
        bits += 6;
        if (bits < 8)
            continue;
        bits -= 8;
        bytes += static_cast<char>((group >> bits) & 255U);
    }
    return bytes;
}

std::string unescape(const std::string& text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i)
        if (text[i] == '%' && i + 2 < text.size())
        {
            plain += static_cast<char>(
                std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        }
        else
            plain += text[i];
    return plain;
}

// Returns a parameter of a query, or an empty text.
std::string parameter(const std::string& query, const std::string& name)
{
    std::string rest = "&" + query;
    const auto at = rest.find("&" + name + "=");
    if (at == std::string::npos)
        return {};
    rest = rest.substr(at + name.size() + 2);
    return unescape(rest.substr(0, rest.find('&')));
}

std::uint64_t number(const std::string& text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

response json_response(unsigned status, const json& body)
{
    auto it = make_response(status, body.dump());
    it.set(http::field::content_type, "application/json");
    return it;
}

bool only_platform_writes(const std::string& key)
{
    return key.starts_with("op/") || key.starts_with("servers/");
}

} // namespace

platform_store::platform_store()
    : server(std::make_unique<http_server>([this](const request& call, int)
                                           { return serve(call); })),
      timer(
          [this]
          {
              lock held(mutex);
              while (!stopping)
              {
                  changed.wait_for(held, milliseconds(20));
                  end_due_leases();
              }
          })
{
}

platform_store::~platform_store()
{
    {
        const std::lock_guard held(mutex);
        stopping = true;
    }
    changed.notify_all();
    server->stop();
    timer.join();
    server.reset();
}

void platform_store::put(const std::string& key, const json& value)
{
    const std::lock_guard held(mutex);
    set_item(key, value.dump(), 0, ++revision);
}

void platform_store::remove(const std::string& key)
{
    const std::lock_guard held(mutex);
    erase_item(key, ++revision);
}

void platform_store::set_down(bool down)
{
    const std::lock_guard held(mutex);
    // Leases pause while the store is down.
    if (is_down && !down)
        for (auto& [id, it] : leases)
            it.end = clock::now() + it.ttl;
    is_down = down;
    changed.notify_all();
}

std::string platform_store::get(const std::string& key)
{
    const std::lock_guard held(mutex);
    const auto it = items.find(key);
    return it == items.end() ? std::string() : it->second.value;
}

void platform_store::set_item(const std::string& key, std::string value,
                              std::uint64_t lease, std::uint64_t at)
{
    auto& it = items[key];
    it.value = std::move(value);
    it.revision = at;
    it.created = it.created == 0 ? at : it.created;
    it.lease = lease;
    history.push_back({key, at, std::make_shared<const item>(it)});
    changed.notify_all();
}

void platform_store::erase_item(const std::string& key, std::uint64_t at)
{
    if (items.erase(key) == 0)
        return;
    history.push_back({key, at, nullptr});
    changed.notify_all();
}

void platform_store::end_due_leases()
{
    if (is_down)
        return;
    const auto now = clock::now();
    std::vector<std::uint64_t> due;
    for (const auto& [id, it] : leases)
        if (it.end <= now)
            due.push_back(id);
    for (const auto id : due)
        end_lease(id);
}

response platform_store::end_lease(std::uint64_t id)
{
    if (leases.erase(id) == 0)
        return json_response(404, json::object());
    std::vector<std::string> keys;
    for (const auto& [key, it] : items)
        if (it.lease == id)
            keys.push_back(key);
    if (!keys.empty())
        ++revision;
    for (const auto& key : keys)
        erase_item(key, revision);
    return json_response(200, json::object());
}

json platform_store::to_json(const std::string& key, const item& it) const
{
    return {{"key", key},
            {"value", to_base64(it.value)},
            {"revision", it.revision},
            {"created", it.created},
            {"lease", it.lease}};
}

json platform_store::events_after(const std::string& prefix,
                                  std::uint64_t after) const
{
    auto list = json::array();
    for (const auto& it : history)
        if (it.revision > after && it.key.starts_with(prefix))
            list.push_back(it.written ? to_json(it.key, *it.written)
                                      : json{{"key", it.key},
                                             {"revision", it.revision},
                                             {"removed", true}});
    return list;
}

response platform_store::read_item(const std::string& query)
{
    const auto key = parameter(query, "key");
    const auto it = items.find(key);
    if (it == items.end())
        return json_response(404, {{"storeRevision", revision}});
    auto body = to_json(key, it->second);
    body["storeRevision"] = revision;
    return json_response(200, body);
}

response platform_store::read_range(const std::string& query)
{
    constexpr std::size_t page_size = 500;
    const auto prefix = parameter(query, "pathPrefix");
    const auto after = parameter(query, "after");
    auto list = json::array();
    bool more = false;
    for (const auto& [key, it] : items)
    {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after))
            continue;
        more = list.size() >= page_size;
        if (more)
            break;
        list.push_back(to_json(key, it));
    }
    return json_response(
        200, {{"items", list}, {"hasMore", more}, {"storeRevision", revision}});
}

response platform_store::watch(const std::string& query, lock& held)
{
    const auto prefix = parameter(query, "pathPrefix");
    const auto after = number(parameter(query, "after"));
    const auto until =
        clock::now() + milliseconds(number(parameter(query, "waitMs")));
    auto events = events_after(prefix, after);
    while (events.empty() && clock::now() < until && !stopping && !is_down)
    {
        changed.wait_until(held, until);
        events = events_after(prefix, after);
    }
    if (is_down || stopping)
        return json_response(503, json::object());
    return json_response(200,
                         {{"events", events}, {"storeRevision", revision}});
}

response platform_store::commit(const std::string& text)
{
    const auto body = json::parse(text);
    auto found = json::array();
    bool met = true;
    for (const auto& it : body.value("expect", json::array()))
    {
        const auto key = it.at("key").get<std::string>();
        const auto known = items.find(key);
        const auto at = known == items.end() ? 0 : known->second.revision;
        met = met && at == it.at("revision").get<std::uint64_t>();
        if (known != items.end())
            found.push_back(to_json(key, known->second));
    }
    if (!met)
        return json_response(412, {{"items", found}});
    const auto writes = body.value("setKeys", json::array());
    for (const auto& it : writes)
    {
        if (only_platform_writes(it.at("key").get<std::string>()))
            return json_response(403, json::object());
        const auto lease = it.value("lease", std::uint64_t(0));
        if (lease != 0 && !leases.contains(lease))
            return json_response(404, json::object());
    }
    const auto at = ++revision;
    for (const auto& it : writes)
        set_item(it.at("key"), from_base64(it.at("value")),
                 it.value("lease", std::uint64_t(0)), at);
    for (const auto& it : body.value("remove", json::array()))
        erase_item(it, at);
    return json_response(200, {{"revision", at}});
}

response platform_store::grant(const std::string& body)
{
    const auto text = json::parse(body).at("ttl_time").get<std::string>();
    const auto n = std::strtod(text.c_str(), nullptr);
    const milliseconds ttl(
        static_cast<long>(text.ends_with("ms") ? n : n * 1'000));
    const auto id = ++last_lease;
    leases[id] = {ttl, clock::now() + ttl};
    return json_response(
        200, {{"lease", id}, {"ttl_time", std::to_string(ttl.count()) + "ms"}});
}

response platform_store::renew(std::uint64_t id)
{
    const auto it = leases.find(id);
    if (it == leases.end())
        return json_response(404, json::object());
    it->second.end = clock::now() + it->second.ttl;
    return json_response(
        200, {{"ttl_time", std::to_string(it->second.ttl.count()) + "ms"}});
}

response platform_store::serve(const request& call)
{
    const std::string target(call.target());
    const auto path = target.substr(0, target.find('?'));
    const auto query =
        path.size() < target.size() ? target.substr(path.size() + 1) : "";
    const auto id = [&]
    {
        return number(path.substr(path.rfind('/') + 1));
    };
    lock held(mutex);
    if (is_down)
        return json_response(503, json::object());
    end_due_leases();
    if (path == "/kv-key")
        return read_item(query);
    if (path == "/kv-range")
        return read_range(query);
    if (path == "/kv-watch")
        return watch(query, held);
    if (path == "/kv-txn")
        return commit(call.body());
    if (path == "/kv-lease")
        return grant(call.body());
    if (path.starts_with("/kv-keep/"))
        return renew(id());
    if (path.starts_with("/kv-lease-end/"))
        return end_lease(id());
    return json_response(400, json::object());
}

} // namespace review
