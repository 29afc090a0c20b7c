#include "targets.hpp"
#include <parsleyplank/config/service_file.hpp>
#include <parsleyplank/dataplane/header_filter.hpp>
#include <parsleyplank/dataplane/request_head.hpp>
#include <parsleyplank/entry/caller_handler.hpp>
#include <parsleyplank/entry/settings.hpp>
#include <parsleyplank/proxy/message_length.hpp>
#include <parsleyplank/store/http_instance_list.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace parsleyplank::fuzz
{

namespace
{

constexpr auto sample_settings = R"([instance]
id = "entry-1"
incarnation = 1
region = "oslo"
failure_domain = "oslo-a"
address = "127.0.0.1"
caller_port = 20810
admin_port = 20811
peer_port = 20812
[platform]
store_address = "::1"
store_port = 20700
instance_list_address = "127.0.0.1"
instance_list_port = 20700
store_timeout_ms = 900
[traffic]
caller_threads = 2
[logging]
level = "INFO"
)";

// Returns an example, so that the samples can't become outdated.
std::string example(const std::string& name)
{
    std::ifstream in(std::filesystem::path(PARSLEYPLANK_EXAMPLES_DIR) / name);
    return {std::istreambuf_iterator<char>(in), {}};
}

constexpr auto sample_request = "POST /ordre/7?x=1&y=%20 HTTP/1.1\r\n"
                                "Host: 127.0.0.1:20810\r\n"
                                "X-Api-Key: demo-key\r\n"
                                "Accept: text/html\r\n"
                                "Accept: image/png\r\n"
                                "Cookie: a=demo-key\r\n"
                                "Content-Length: 12\r\n"
                                "Connection: keep-alive\r\n";

void parse_settings(std::string_view input)
{
    try
    {
        entry::parse_settings(input, "entry.toml");
    }
    catch (const config_error&)
    {
    }
}

void parse_files(std::string_view input)
{
    config::collected_files files;
    config::add_file(files, "file.toml", input);
    config::check_files(files);
}

void parse_lookup(std::string_view input)
{
    try
    {
        lookup::parse_lookup(input);
    }
    catch (const lookup::invalid_lookup_request& ec)
    {
        lookup::error_json(ec.what());
    }
}

void parse_list(std::string_view input)
{
    try
    {
        store::parse_instance_list(std::string(input));
    }
    catch (const codec_error&)
    {
    }
}

void check_filtered(const dataplane::request_head& head, std::string_view key)
{
    const auto kept = dataplane::filter_request_headers(head.headers, key);
    const auto target = dataplane::filter_target(head.path, head.query, key);
    const bool leaks =
        (target && dataplane::holds_key(*target, key)) ||
        std::ranges::any_of(kept, [&](const dataplane::header_field& f)
                            { return dataplane::holds_key(f.value, key); });
    if (!key.empty() && leaks)
        throw broken_contract("the API key passes the filter");
    dataplane::filter_response_headers(head.headers);
}

void parse_head(std::string_view input)
{
    try
    {
        const auto head = dataplane::parse_request_head(input);
        const auto* key = dataplane::find_header(head.headers, "x-api-key");
        check_filtered(head, key == nullptr ? "" : *key);
    }
    catch (const dataplane::bad_head&)
    {
    }
}

// Checks that the parser reads a body exactly as the length that is decided for
// it says.
void parse_edge_request(std::string_view input)
{
    proxy::http::request_parser<proxy::http::string_body> parser;
    parser.eager(false);
    proxy::error_code ec;
    const auto n = parser.put(proxy::asio::buffer(input), ec);
    if (ec || !parser.is_header_done())
        return;
    const auto& header = parser.get();
    const auto length = proxy::request_length(header);
    if (proxy::fault_of(length))
        return;
    const bool chunked = std::holds_alternative<proxy::chunked_body>(length);
    if (parser.chunked() != chunked)
        throw broken_contract("chunked or not is in doubt");
    const auto* fixed = std::get_if<proxy::fixed_length>(&length);
    if (!chunked &&
        parser.content_length().value_or(0) != (fixed ? fixed->bytes : 0))
        throw broken_contract("the length is in doubt");
    if (n > input.size())
        throw broken_contract("read past the end");
}

// Input: path, query and key, each on a line.
void filter_line(std::string_view input)
{
    dataplane::request_head head;
    const auto first = input.find('\n');
    const auto second = input.find('\n', first + 1);
    if (first == input.npos || second == input.npos)
        return;
    head.path = input.substr(0, first);
    head.query = input.substr(first + 1, second - first - 1);
    head.headers = {{"accept", head.query}};
    check_filtered(head, input.substr(second + 1));
}

} // namespace

std::vector<target> text_targets()
{
    const store::listed_instance listed{instance_id("entry-1"),
                                        incarnation(1),
                                        region_id("oslo"),
                                        failure_domain_id("oslo-a"),
                                        "127.0.0.1",
                                        20'810,
                                        20'811,
                                        20'812,
                                        false};
    const auto list =
        nlohmann::json::array({store::to_json(listed), store::to_json(listed)});
    return {{"settings", {sample_settings}, parse_settings},
            {"fleet and service files",
             {example("skuffedel/fleet.toml"),
              example("skuffedel/ordre/service.toml")},
             parse_files},
            {"look-up query",
             {"client=10.1.2.3&customer=a", "client=%3a%3A1", "client=::1"},
             parse_lookup},
            {"instance list", {list.dump()}, parse_list},
            {"request head", {sample_request}, parse_head},
            {"request to the edge",
             {sample_request + std::string("\r\n"),
              "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
              "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
              "Content-Length: 7\r\n\r\n",
              "POST /a HTTP/1.0\r\nContent-Length: 7\r\n"
              "Content-Length: 7\r\n\r\n"},
             parse_edge_request},
            {"header and target filter",
             {"/a/b\nx=1&demo-key=%64emo&k=demo-key\ndemo-key",
              "/demo%2dkey\na=demo%252dkey&b\ndemo-key", "/a\nb=%25\n%25",
              "/aa\naaaa=aa&a\naa"},
             filter_line}};
}

} // namespace parsleyplank::fuzz
