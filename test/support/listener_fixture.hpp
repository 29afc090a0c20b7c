#ifndef PARSLEYPLANK_TEST_SUPPORT_LISTENER_FIXTURE_HPP
#define PARSLEYPLANK_TEST_SUPPORT_LISTENER_FIXTURE_HPP

// A listener for callers whose event loop runs on the thread of the test, so
// that what callers do falls exactly between two events. Records the requests
// that are handled.

#include <parsleyplank/proxy/front_listener.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <support/edge_fixture.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace parsleyplank::test
{

inline const std::string get_request =
    "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n";

struct listener_fixture
{
    explicit listener_fixture(proxy::front_options options = {})
        : listener(io, steering::server_endpoint{"127.0.0.1", port},
                   std::move(options),
                   [this](const proxy::exchange_ptr& ex) { handle(ex); })
    {
        react();
    }

    // Lets the listener react to what has arrived.
    void react()
    {
        io.run_for(milliseconds(50));
    }

    // Lets the listener react until the condition holds; fails if it does not
    // within a time that is far longer than any test takes.
    void react_until(const std::function<bool()>& condition)
    {
        const auto bound =
            std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < bound)
            io.run_for(milliseconds(1));
        CPPUNIT_ASSERT(condition());
    }

    // Lets the listener react until no request is open.
    void respond_to_all()
    {
        react_until([this] { return listener.open_requests() == 0; });
    }

    void handle(const proxy::exchange_ptr& ex)
    {
        if (handled.empty())
            first_handled = std::chrono::steady_clock::now();
        handled.push_back(ex);
        if (responding)
            proxy::respond(*ex, proxy::make_response(200, "ok"));
    }

    proxy::asio::io_context io{1};
    const reserved_port reserved;
    const std::uint16_t port = reserved.number();
    std::vector<proxy::exchange_ptr> handled;
    time_point first_handled;
    // Whether the handler responds, or holds the requests.
    bool responding = true;
    proxy::front_listener listener;
};

} // namespace parsleyplank::test

#endif
