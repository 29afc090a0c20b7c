#ifndef PARSLEYPLANK_EDGE_TOKEN_EXCHANGE_HPP
#define PARSLEYPLANK_EDGE_TOKEN_EXCHANGE_HPP

// Exchange of rate limit tokens between instances, by datagrams. A datagram
// that is lost loses the tokens in it. Only the traffic thread may use it.

#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/edge/token_pool.hpp>
#include <parsleyplank/proxy/messages.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <unordered_map>

namespace parsleyplank::edge
{

// Types of the messages between instances.
enum class token_message_type : std::uint8_t
{
    // Requests tokens for the instance itself; answered with granted.
    request,
    granted,
    // Moves spare tokens to the pool of the region.
    spare,
    // Requests tokens for the pool of another region; answered with lent.
    request_lent,
    lent,
    // Requests a token for a request in another region; answered with granted.
    request_elsewhere
};

constexpr int enum_size(token_message_type /*type*/)
{
    return static_cast<int>(token_message_type::request_elsewhere) + 1;
}

// Number of tokens of one customer.
struct token_count
{
    // Hash of the customer's id, as customer_number returns it.
    std::uint32_t customer = 0;
    std::uint32_t count = 0;

    bool operator==(const token_count&) const = default;

    MSGPACK_DEFINE_ARRAY(customer, count)
};

// One datagram between two instances.
struct token_message
{
    token_message_type type = token_message_type::request;
    // Matches an answer to its request. Chosen by the requesting instance and
    // repeated in the answer; 0 in messages without one.
    std::uint64_t correlation_id = 0;
    std::vector<token_count> items;

    bool operator==(const token_message&) const = default;

    MSGPACK_DEFINE_ARRAY(type, correlation_id, items)
};

// Callbacks that access the tokens at this instance.
struct token_handlers
{
    // Takes up to `count` tokens for another instance of the region. Returns
    // nullopt, which is not answered, if this instance may not use its state.
    std::function<std::optional<std::uint32_t>(const token_count&)> grant;
    // Takes a token for a request in another region, with the same result.
    std::function<std::optional<std::uint32_t>(const token_count&)>
        grant_elsewhere;
    // Takes up to `count` tokens for the pool of another region.
    std::function<std::uint32_t(const token_count&)> lend;
    // Adds tokens that were granted after the timeout, that others have to
    // spare, or that the pool of another region has lent.
    std::function<void(const token_count&)> add_own;
    std::function<void(const token_count&)> add_spare;
    std::function<void(const token_count&)> add_lent;
    // Called with the size of each datagram that is sent, if set.
    std::function<void(std::size_t bytes)> count_sent;
};

class token_exchange
{
public:
    // Starts to receive datagrams. Throws error if the address can't be used.
    token_exchange(proxy::asio::io_context& io,
                   const steering::server_endpoint& where,
                   token_handlers handlers);

    // Requests tokens from the pool of the region, or from that of another one,
    // and returns how many it has granted. Nullopt if it does not answer before
    // the timeout.
    proxy::asio::awaitable<std::optional<std::uint32_t>>
    request_tokens(const steering::server_endpoint& pool, token_count wanted);
    proxy::asio::awaitable<std::optional<std::uint32_t>>
    request_elsewhere(const steering::server_endpoint& pool,
                      token_count wanted);

    // Sends the tokens and requests, without confirmation.
    void send_transfers(const token_transfers& transfers);

private:
    struct pending_request
    {
        explicit pending_request(proxy::asio::io_context& io) : timer(io)
        {
        }

        proxy::asio::steady_timer timer;
        std::optional<std::uint32_t> granted;
    };

    proxy::asio::awaitable<std::optional<std::uint32_t>>
    exchange(token_message_type type, const steering::server_endpoint& pool,
             token_count wanted, milliseconds timeout);
    void receive();
    void handle_datagram(std::size_t n);
    void handle_message(const token_message& message);
    template <typename Grant>
    void answer_request(const token_message& message, const Grant& grant);
    void answer_loan_request(const token_message& message);
    void accept_grant(const token_message& message);
    void send(const proxy::asio::ip::udp::endpoint& to,
              const token_message& message);
    void send_items(token_message_type type, const token_transfer& transfer);

    proxy::asio::io_context& io;
    proxy::asio::ip::udp::socket socket;
    proxy::asio::ip::udp::endpoint sender;
    token_handlers handlers;
    std::array<char, 1'400> datagram{};
    std::unordered_map<std::uint64_t, pending_request*> pending_requests;
    std::uint64_t next_correlation_id = 1;
};

} // namespace parsleyplank::edge

#endif
