#ifndef PARSLEYPLANK_REVIEW_ORDER_CLIENT_HPP
#define PARSLEYPLANK_REVIEW_ORDER_CLIENT_HPP

// A client that sends orders, one after the other, on a kept connection. An
// order is not sent again.

#include "http_server.hpp"
#include "record.hpp"

namespace review
{

struct order
{
    std::string id;
    clock::time_point sent;
    // Status of the complete response; 0 if there is none.
    unsigned status = 0;
};

class order_client
{
public:
    // Sends orders with this pause between a response and the next order,
    // whatever the response says.
    order_client(const std::string& name, std::uint16_t port,
                 const std::string& path, milliseconds pause, record& log,
                 const std::string& api_key = {});
    ~order_client();

    order_client(const order_client&) = delete;
    order_client& operator=(const order_client&) = delete;

    // Sends no further order and waits for the response.
    void stop();

    // The orders that have been sent; to be called after stop().
    const std::vector<order>& orders() const
    {
        return sent;
    }

private:
    void run();
    bool send(order& it);

    std::string name;
    std::string path;
    std::string key;
    std::uint16_t port;
    milliseconds pause;
    record& log;
    asio::io_context io;
    std::optional<tcp::socket> socket;
    beast::flat_buffer buffer;
    std::atomic<bool> stopping{false};
    std::vector<order> sent;
    std::thread thread;
};

} // namespace review

#endif
