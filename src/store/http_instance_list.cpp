#include <parsleyplank/store/http_instance_list.hpp>
#include <parsleyplank/store/store_protocol.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace parsleyplank::store
{

namespace
{

std::string name_of(const nlohmann::json& object)
{
    if (object.is_object() && object.contains("id") && object["id"].is_string())
        return object["id"].get<std::string>();
    return "without an id";
}

// Throws codec_error if the number is no port.
std::uint16_t parse_port(const nlohmann::json& object, const char* member)
{
    constexpr std::uint64_t largest = 65'535;
    const auto& value = object.at(member);
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > largest)
        throw codec_error("listed instance " + name_of(object) + ": " + member +
                          " is not a port");
    return value.get<std::uint16_t>();
}

} // namespace

nlohmann::json to_json(const listed_instance& instance)
{
    return {{"id", instance.id.value},
            {"incarnation", instance.life.value},
            {"region", instance.region.value},
            {"failure_domain", instance.domain.value},
            {"address", instance.address},
            {"caller_port", instance.caller_port},
            {"admin_port", instance.admin_port},
            {"peer_port", instance.peer_port},
            {"leaving", instance.leaving}};
}

listed_instance parse_listed_instance(const nlohmann::json& object)
{
    try
    {
        listed_instance result;
        result.id = instance_id(object.at("id").get<std::string>());
        result.life =
            incarnation(object.at("incarnation").get<std::uint64_t>());
        result.region = region_id(object.at("region").get<std::string>());
        result.domain =
            failure_domain_id(object.at("failure_domain").get<std::string>());
        result.address = object.at("address").get<std::string>();
        result.caller_port = parse_port(object, "caller_port");
        result.admin_port = parse_port(object, "admin_port");
        result.peer_port = parse_port(object, "peer_port");
        result.leaving = object.at("leaving").get<bool>();
        return result;
    }
    catch (const nlohmann::json::exception& ec)
    {
        throw codec_error("listed instance " + name_of(object) + ": " +
                          ec.what());
    }
}

std::vector<listed_instance> parse_instance_list(const std::string& body)
{
    try
    {
        const auto document = nlohmann::json::parse(body);
        if (!document.is_array())
            throw codec_error("the instance list is not a JSON array");
        std::vector<listed_instance> result;
        result.reserve(document.size());
        std::ranges::transform(document, std::back_inserter(result),
                               &parse_listed_instance);
        return result;
    }
    catch (const nlohmann::json::exception& ec)
    {
        throw codec_error(std::string("the instance list: ") + ec.what());
    }
}

http_instance_list::http_instance_list(http_settings settings)
    : http(std::move(settings))
{
}

std::vector<listed_instance> http_instance_list::read()
{
    const std::string path = protocol::instances_path;
    const auto where = http.authority() + path + ": ";
    try
    {
        const auto response = http.get(path);
        if (response.status != 200)
            throw store_unavailable(where + "HTTP status " +
                                    std::to_string(response.status));
        return parse_instance_list(response.body);
    }
    catch (const transfer_error& ec)
    {
        throw store_unavailable(ec.what());
    }
    catch (const codec_error& ec)
    {
        throw store_unavailable(where + ec.what());
    }
}

} // namespace parsleyplank::store
