#ifndef PARSLEYPLANK_STORE_HTTP_INSTANCE_LIST_HPP
#define PARSLEYPLANK_STORE_HTTP_INSTANCE_LIST_HPP

// The platform's instance list over HTTP and JSON, as described in
// docs/STORE-PROTOCOL.md.

#include <parsleyplank/store/http_call.hpp>
#include <parsleyplank/store/instance_list.hpp>

#include <nlohmann/json_fwd.hpp>

namespace parsleyplank::store
{

// Returns the JSON object of one listed instance.
nlohmann::json to_json(const listed_instance& instance);

// Returns the listed instance of a JSON object. Throws codec_error, which
// holds the object's id if it has one, if a member is missing or has another
// type.
listed_instance parse_listed_instance(const nlohmann::json& object);

// Returns the instances of a JSON array. Throws codec_error if it does not
// parse or one of them is wrong.
std::vector<listed_instance> parse_instance_list(const std::string& body);

// Not safe for use by several threads.
class http_instance_list final : public instance_list
{
public:
    // Does not connect yet. Throws error if libcurl can't be set up.
    explicit http_instance_list(http_settings settings);

    // Throws store_unavailable, also if the response is not a valid list.
    std::vector<listed_instance> read() override;

private:
    http_call http;
};

} // namespace parsleyplank::store

#endif
