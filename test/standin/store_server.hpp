#ifndef PARSLEYPLANK_TEST_STANDIN_STORE_SERVER_HPP
#define PARSLEYPLANK_TEST_STANDIN_STORE_SERVER_HPP

// Serves a store_core over HTTP, as described in docs/STORE-PROTOCOL.md.
// Besides the platform's calls it serves, for tests and demos:
//
//   GET /counts                   calls that arrived, as a JSON object
//   PUT /fault/NAME?value=N       set_fault of store_core
//   PUT /v1/instances/ID          a listed instance as a JSON object
//   DELETE /v1/instances/ID

#include "standin/store_core.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace parsleyplank::standin
{

class store_server
{
public:
    // Listens and starts to serve; port 0 takes a free one. Throws
    // std::runtime_error if it can't listen.
    store_server(const std::string& address, std::uint16_t port);

    // Stops serving; waiting watches get no answer.
    ~store_server();
    store_server(const store_server&) = delete;
    store_server& operator=(const store_server&) = delete;

    std::uint16_t port() const;

    // Calls the function with the core while no call is being served.
    void with_core(const std::function<void(store_core&)>& function);

    // Returns the number of watches that wait for a change.
    std::size_t waiting_watches() const;

private:
    class handler;
    struct state;
    std::unique_ptr<state> self;
};

} // namespace parsleyplank::standin

#endif
