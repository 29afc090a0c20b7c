#ifndef PARSLEYPLANK_EDGE_TOKEN_EXCHANGE_HPP
#define PARSLEYPLANK_EDGE_TOKEN_EXCHANGE_HPP

// Exchange of rate limit tokens for customers whose rate is too small to be
// divided among all instances. One instance of each region, the holder, has the
// region's tokens of such a customer; the others request single tokens from it
// by datagram. Only the traffic thread may use it.

#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/proxy/messages.hpp>
#include <parsleyplank/steering/server_registry.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <unordered_map>

namespace parsleyplank::edge
{

// Types of the messages between instances.
enum class token_message_type : std::uint8_t
{
    request_token,
    granted,
    refused,
    return_token
};

constexpr int enum_size(token_message_type /*type*/)
{
    return static_cast<int>(token_message_type::return_token) + 1;
}

// One datagram between an instance and a token holder.
struct token_message
{
    token_message_type type = token_message_type::request_token;
    // Matches an answer to its request. Chosen by the requesting instance and
    // repeated in the answer; 0 in a returned token, which has no answer.
    std::uint64_t correlation_id = 0;
    // Hash of the customer's id, as customer_number returns it.
    std::uint32_t customer = 0;

    bool operator==(const token_message&) const = default;

    MSGPACK_DEFINE_ARRAY(type, correlation_id, customer)
};

// Result of a token request.
enum class token_answer
{
    granted,
    refused,
    // The holder did not answer in time.
    unknown
};

// Callbacks that access the tokens that this instance holds.
struct token_holder
{
    // Takes a token of the customer. Returns unknown, which is not sent, if
    // this instance can't tell whether it still holds the tokens.
    std::function<token_answer(std::uint32_t customer)> take;
    // Puts an unused token of the customer back.
    std::function<void(std::uint32_t customer)> return_token;
};

class token_exchange
{
public:
    // Starts to receive datagrams. Throws error if the address can't be used.
    token_exchange(proxy::asio::io_context& io,
                   const steering::server_endpoint& where, token_holder held);

    // Requests a token of the customer from the holder. The answer is unknown
    // if none arrives before the timeout.
    proxy::asio::awaitable<token_answer>
    request_token(const steering::server_endpoint& holder,
                  std::uint32_t customer);

    // Returns a granted token that was not used to the holder. The datagram is
    // sent without confirmation and may be lost.
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
    void answer_request(const token_message& message);
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
