#include "standin/backend/backend_switches.hpp"

#include <functional>
#include <stdexcept>

namespace parsleyplank::test
{

namespace
{

using setter = std::function<void(backend_switches&, const std::string&)>;

bool to_bool(const std::string& text)
{
    if (text == "1" || text == "true")
        return true;
    if (text == "0" || text == "false")
        return false;
    throw std::invalid_argument("not a truth value");
}

connection_fault to_fault(const std::string& text)
{
    static const std::map<std::string, connection_fault> names{
        {"none", connection_fault::none},
        {"silent", connection_fault::silent},
        {"truncated", connection_fault::truncated},
        {"unframed", connection_fault::unframed},
        {"late", connection_fault::late},
        {"crossed", connection_fault::crossed},
        {"close_after_read", connection_fault::close_after_read}};
    const auto it = names.find(text);
    if (it == names.end())
        throw std::invalid_argument("no such fault");
    return it->second;
}

std::string to_health(const std::string& text)
{
    if (text != "auto" && text != "ok" && text != "bad")
        throw std::invalid_argument("not auto, ok or bad");
    return text;
}

const std::map<std::string, setter>& setters()
{
    static const std::map<std::string, setter> all{
        {"fail_rate",
         [](auto& it, const auto& text)
         {
             it.fail_rate = std::stod(text);
         }},
        {"latency_ms",
         [](auto& it, const auto& text)
         {
             it.latency_ms = std::stoi(text);
         }},
        {"cold_extra_ms",
         [](auto& it, const auto& text)
         {
             it.cold_extra_ms = std::stoi(text);
         }},
        {"cold_for_ms",
         [](auto& it, const auto& text)
         {
             it.cold_for_ms = std::stoi(text);
         }},
        {"cold_start",
         [](auto& it, const auto&)
         {
             it.cold_since = std::chrono::steady_clock::now();
         }},
        {"drain",
         [](auto& it, const auto& text)
         {
             it.drain = to_bool(text);
         }},
        {"shed",
         [](auto& it, const auto& text)
         {
             it.shed = to_bool(text);
         }},
        {"health",
         [](auto& it, const auto& text)
         {
             it.health = to_health(text);
         }},
        {"load",
         [](auto& it, const auto& text)
         {
             it.load = std::stod(text);
         }},
        {"fault",
         [](auto& it, const auto& text)
         {
             it.fault = to_fault(text);
         }},
        {"fault_count",
         [](auto& it, const auto& text)
         {
             it.fault_count = std::stoi(text);
         }},
        {"silent_before",
         [](auto& it, const auto& text)
         {
             it.silent_before = std::stoi(text);
         }},
        {"release", [](auto& it, const auto& text)
         {
             it.release = to_bool(text);
         }}};
    return all;
}

} // namespace

void set_switches(backend_switches& switches,
                  const std::map<std::string, std::string>& values)
{
    auto changed = switches;
    for (const auto& [name, text] : values)
    {
        const auto it = setters().find(name);
        if (it == setters().end())
            throw std::invalid_argument("unknown switch " + name);
        try
        {
            it->second(changed, text);
        }
        catch (const std::exception& ec)
        {
            std::string message = "switch " + name;
            message.append("=").append(text).append(": ").append(ec.what());
            throw std::invalid_argument(message);
        }
    }
    switches = changed;
}

} // namespace parsleyplank::test
