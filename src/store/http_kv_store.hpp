#ifndef PARSLEYPLANK_STORE_HTTP_KV_STORE_HPP
#define PARSLEYPLANK_STORE_HTTP_KV_STORE_HPP

// The key-value store over HTTP, as described in docs/STORE-PROTOCOL.md. This
// is the only place that knows the protocol of the platform's store.

#include <parsleyplank/store/http_call.hpp>
#include <parsleyplank/store/kv_store.hpp>

#include <cstdint>

namespace parsleyplank::store
{

// Calls made so far, failed ones included.
struct call_counts
{
    std::uint64_t gets = 0;
    std::uint64_t lists = 0;
    std::uint64_t swaps = 0;
    std::uint64_t deletes = 0;
    std::uint64_t watches = 0;
    // Calls that ended with store_unavailable.
    std::uint64_t unavailable = 0;
    // Calls that ended with store_outcome_unknown.
    std::uint64_t outcome_unknown = 0;
    // Bytes of the request and response bodies.
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

// Not safe for use by several threads: one object per thread. Reads and
// watches keep their connection open, each write uses a connection of its own.
class http_kv_store final : public kv_store
{
public:
    // Does not connect yet. Throws error if libcurl can't be set up.
    explicit http_kv_store(http_settings settings);

    read_result get(const std::string& key) override;
    list_result list(const std::string& prefix) override;

    // Throws error, besides the exceptions of kv_store, if the value is larger
    // than max_value_bytes.
    write_result compare_and_swap(const std::string& key, revision expected,
                                  const std::string& value) override;
    write_result compare_and_delete(const std::string& key,
                                    revision expected) override;

    // A deleted key is returned with revision 0 and an empty value.
    list_result watch(const std::string& prefix, revision after,
                      milliseconds wait) override;

    // Returns the counts. To be read by the thread that makes the calls.
    const call_counts& counts() const
    {
        return calls;
    }

private:
    std::string read_call(const std::string& path, const std::string& request,
                          milliseconds extra_wait);
    std::string write_call(const std::string& path, const std::string& request);
    template <typename Response>
    Response decode_read(const std::string& bytes, const std::string& path);
    write_result decode_write(const std::string& bytes,
                              const std::string& path);

    http_call http;
    call_counts calls;
};

} // namespace parsleyplank::store

#endif
