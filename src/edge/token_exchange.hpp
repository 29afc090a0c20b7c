#ifndef PARSLEYPLANK_EDGE_TOKEN_EXCHANGE_HPP
#define PARSLEYPLANK_EDGE_TOKEN_EXCHANGE_HPP

// Tokens of customers whose rate is too small to be divided among all
// instances. One instance of each region holds the region's tokens of such a
// customer; the others ask it for one by datagram. Belongs to the traffic
// thread.

#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/proxy/messages.hpp>
#include <parsleyplank/steering/server_registry.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <unordered_map>

namespace parsleyplank::edge
{

enum class token_message_type : std::uint8_t
{
    request_token,
    granted,
    refused,
    return_token
};

constexpr int enum_size(token_message_type /*kind*/)
{
    return static_cast<int>(token_message_type::return_token) + 1;
}

struct token_message
{
    token_message_type type = token_message_type::request_token;
    // Chosen by the instance that asks; the answer repeats it.
    std::uint64_t correlation_id = 0;
    // Number of the customer in digests.
    std::uint32_t customer = 0;

    bool operator==(const token_message&) const = default;

    MSGPACK_DEFINE_ARRAY(type, correlation_id, customer)
};

enum class token_answer
{
    granted,
    refused,
    // The holder did not answer in time.
    unknown
};

// What an instance does for the tokens that it holds.
struct token_holder
{
    // Takes a token of the customer. Returns whether there was one.
    std::function<bool(std::uint32_t customer)> take;
    std::function<void(std::uint32_t customer)> return_token;
};

class token_exchange
{
public:
    // Listens for datagrams at once. Throws error if the address can't be used.
    token_exchange(proxy::asio::io_context& io,
                   const steering::server_endpoint& where, token_holder held);

    // Asks the holder for a token.
    proxy::asio::awaitable<token_answer>
    request_token(const steering::server_endpoint& holder,
                  std::uint32_t customer);

    // Gives a token back that was granted and not used. May be lost.
    void return_token(const steering::server_endpoint& holder,
                      std::uint32_t customer);

private:
    struct pending_request
    {
        explicit pending_request(proxy::asio::io_context& io) : timer(io)
        {
        }

        proxy::asio::steady_timer timer;
        token_answer answer = token_answer::unknown;
    };

    void receive();
    void handle_datagram(std::size_t n);
    void send(const proxy::asio::ip::udp::endpoint& to,
              const token_message& message);

    proxy::asio::io_context& io;
    proxy::asio::ip::udp::socket socket;
    proxy::asio::ip::udp::endpoint sender;
    token_holder holder;
    std::array<char, 512> datagram{};
    std::unordered_map<std::uint64_t, pending_request*> pending_requests;
    std::uint64_t next_correlation_id = 1;
};

} // namespace parsleyplank::edge

#endif
