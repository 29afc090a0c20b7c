#include <parsleyplank/store/http_kv_store.hpp>
#include <parsleyplank/store/store_protocol.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace parsleyplank::store
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_gone = 410;

// The message of an unexpected status: the start of the body names the cause.
std::string describe(const std::string& authority, const std::string& path,
                     const http_response& response)
{
    constexpr std::size_t shown = 200;
    return authority + path + ": HTTP status " +
           std::to_string(response.status) + " " +
           response.body.substr(0, shown);
}

// A client error or 503 says that the write was refused; any other status may
// come from a gateway that does not know.
bool surely_refused(int status)
{
    constexpr int unavailable = 503;
    return (status >= 400 && status < 500) || status == unavailable;
}

list_result to_list(protocol::entries_response response)
{
    list_result result{{}, response.store_revision};
    result.entries.reserve(response.entries.size());
    std::ranges::transform(response.entries, std::back_inserter(result.entries),
                           [](protocol::wire_entry& row) {
                               return entry{std::move(row.key),
                                            std::move(row.value),
                                            row.key_revision};
                           });
    return result;
}

} // namespace

http_kv_store::http_kv_store(http_settings settings) : http(std::move(settings))
{
}

std::string http_kv_store::read_call(const std::string& path,
                                     const std::string& request,
                                     milliseconds extra_wait)
{
    try
    {
        calls.bytes_sent += request.size();
        auto response =
            http.post(path, request, connection_use::reused, extra_wait);
        calls.bytes_received += response.body.size();
        if (response.status == status_ok)
            return std::move(response.body);
        ++calls.unavailable;
        if (response.status == status_gone)
            throw history_lost(describe(http.authority(), path, response));
        throw store_unavailable(describe(http.authority(), path, response));
    }
    catch (const transfer_error& ec)
    {
        ++calls.unavailable;
        throw store_unavailable(ec.what());
    }
}

std::string http_kv_store::write_call(const std::string& path,
                                      const std::string& request)
{
    try
    {
        calls.bytes_sent += request.size();
        auto response =
            http.post(path, request, connection_use::fresh, milliseconds(0));
        calls.bytes_received += response.body.size();
        if (response.status == status_ok)
            return std::move(response.body);
        const auto what = describe(http.authority(), path, response);
        if (surely_refused(response.status))
        {
            ++calls.unavailable;
            throw store_unavailable(what);
        }
        ++calls.outcome_unknown;
        throw store_outcome_unknown(what);
    }
    catch (const transfer_error& ec)
    {
        if (!ec.may_be_sent)
        {
            ++calls.unavailable;
            throw store_unavailable(ec.what());
        }
        ++calls.outcome_unknown;
        throw store_outcome_unknown(ec.what());
    }
}

template <typename Response>
Response http_kv_store::decode_read(const std::string& bytes,
                                    const std::string& path)
{
    try
    {
        return unpack_value<Response>(bytes, http.authority() + path);
    }
    catch (const codec_error& ec)
    {
        ++calls.unavailable;
        throw store_unavailable(ec.what());
    }
}

write_result http_kv_store::decode_write(const std::string& bytes,
                                         const std::string& path)
{
    try
    {
        const auto response = unpack_value<protocol::write_response>(
            bytes, http.authority() + path);
        return {response.applied, response.key_revision,
                response.store_revision};
    }
    catch (const codec_error& ec)
    {
        ++calls.outcome_unknown;
        throw store_outcome_unknown(ec.what());
    }
}

read_result http_kv_store::get(const std::string& key)
{
    ++calls.gets;
    const auto path = protocol::get_path;
    const auto bytes = read_call(path, pack_value(protocol::read_request{key}),
                                 milliseconds(0));
    auto result = to_list(decode_read<protocol::entries_response>(bytes, path));
    if (result.entries.empty())
        return {std::nullopt, result.store_revision};
    return {std::move(result.entries.front()), result.store_revision};
}

list_result http_kv_store::list(const std::string& prefix)
{
    ++calls.lists;
    const auto path = protocol::list_path;
    const auto bytes = read_call(
        path, pack_value(protocol::read_request{prefix}), milliseconds(0));
    return to_list(decode_read<protocol::entries_response>(bytes, path));
}

write_result http_kv_store::compare_and_swap(const std::string& key,
                                             revision expected,
                                             const std::string& value)
{
    if (value.size() > max_value_bytes)
        throw error("value of store key '" + key + "' has " +
                    std::to_string(value.size()) + " bytes; the limit is " +
                    std::to_string(max_value_bytes));
    ++calls.swaps;
    const auto path = protocol::swap_path;
    const auto bytes = write_call(
        path, pack_value(protocol::swap_request{key, expected, value, 0}));
    return decode_write(bytes, path);
}

write_result http_kv_store::compare_and_delete(const std::string& key,
                                               revision expected)
{
    ++calls.deletes;
    const auto path = protocol::delete_path;
    const auto bytes =
        write_call(path, pack_value(protocol::delete_request{key, expected}));
    return decode_write(bytes, path);
}

list_result http_kv_store::watch(const std::string& prefix, revision after,
                                 milliseconds wait)
{
    ++calls.watches;
    const auto path = protocol::watch_path;
    const protocol::watch_request request{
        prefix, after, static_cast<std::uint64_t>(wait.count())};
    const auto bytes = read_call(path, pack_value(request), wait);
    return to_list(decode_read<protocol::entries_response>(bytes, path));
}

} // namespace parsleyplank::store
