#include <parsleyplank/core/error.hpp>
#include <parsleyplank/core/log.hpp>
#include <parsleyplank/edge/token_exchange.hpp>

#include <algorithm>
#include <log4cplus/loggingmacros.h>

namespace parsleyplank::edge
{

namespace
{

using udp = proxy::asio::ip::udp;

// The pool is in the same region, so an answer that takes longer is most likely
// lost, and the request of the caller should not wait for it.
constexpr milliseconds answer_timeout{60};
// Other regions are some 100 ms away.
constexpr milliseconds other_region_timeout{250};
// Customers in one datagram, which must fit into one packet.
constexpr std::size_t max_items = 100;

udp::endpoint to_endpoint(const steering::server_endpoint& where)
{
    return {proxy::asio::ip::make_address(where.address), where.port};
}

udp::socket open_socket(proxy::asio::io_context& io,
                        const steering::server_endpoint& where)
{
    try
    {
        return {io, to_endpoint(where)};
    }
    catch (const boost::system::system_error& ec)
    {
        throw error("can't open a UDP socket on " + where.address + ":" +
                    std::to_string(where.port) + ": " + ec.what());
    }
}

} // namespace

token_exchange::token_exchange(proxy::asio::io_context& context,
                               const steering::server_endpoint& where,
                               token_handlers callbacks)
    : io(context), socket(open_socket(io, where)),
      handlers(std::move(callbacks))
{
    receive();
}

proxy::asio::awaitable<std::optional<std::uint32_t>>
token_exchange::request_tokens(const steering::server_endpoint& pool,
                               token_count wanted)
{
    return exchange(token_message_type::request, pool, wanted, answer_timeout);
}

proxy::asio::awaitable<std::optional<std::uint32_t>>
token_exchange::request_elsewhere(const steering::server_endpoint& pool,
                                  token_count wanted)
{
    return exchange(token_message_type::request_elsewhere, pool, wanted,
                    other_region_timeout);
}

proxy::asio::awaitable<std::optional<std::uint32_t>>
token_exchange::exchange(token_message_type type,
                         const steering::server_endpoint& pool,
                         token_count wanted, milliseconds timeout)
{
    const auto correlation_id = next_correlation_id++;
    pending_request entry(io);
    pending_requests[correlation_id] = &entry;
    send(to_endpoint(pool), {type, correlation_id, {wanted}});
    entry.timer.expires_after(timeout);
    proxy::error_code ec;
    co_await entry.timer.async_wait(
        proxy::asio::redirect_error(proxy::asio::use_awaitable, ec));
    pending_requests.erase(correlation_id);
    co_return entry.granted;
}

void token_exchange::send_transfers(const token_transfers& transfers)
{
    for (const auto& it : transfers.spare)
        send_items(token_message_type::spare, it);
    for (const auto& it : transfers.wanted)
        send_items(token_message_type::request, it);
    for (const auto& it : transfers.requested)
        send_items(token_message_type::request_lent, it);
}

void token_exchange::send_items(token_message_type type,
                                const token_transfer& transfer)
{
    token_message message{type, 0, {}};
    for (const auto& it : transfer.items)
    {
        message.items.push_back({it.customer, it.count});
        if (message.items.size() == max_items || &it == &transfer.items.back())
        {
            send(to_endpoint(transfer.to), message);
            message.items.clear();
        }
    }
}

void token_exchange::send(const udp::endpoint& to, const token_message& message)
{
    const auto bytes = pack_value(message);
    proxy::error_code ec;
    // A datagram that can't be sent is treated as lost.
    socket.send_to(proxy::asio::buffer(bytes), to, 0, ec);
    if (handlers.count_sent)
        handlers.count_sent(bytes.size());
}

void token_exchange::receive()
{
    socket.async_receive_from(proxy::asio::buffer(datagram), sender,
                              [this](const proxy::error_code& ec, std::size_t n)
                              {
                                  // Errors are ignored: they report that an
                                  // earlier datagram was sent to a peer that is
                                  // down.
                                  if (!ec)
                                      handle_datagram(n);
                                  if (ec !=
                                      proxy::asio::error::operation_aborted)
                                      receive();
                              });
}

template <typename Grant>
void token_exchange::answer_request(const token_message& message,
                                    const Grant& grant)
{
    token_message answer{
        token_message_type::granted, message.correlation_id, {}};
    for (const auto& it : message.items)
        if (const auto count = grant(it))
            answer.items.push_back({it.customer, *count});
    if (!answer.items.empty())
        send(sender, answer);
}

void token_exchange::answer_loan_request(const token_message& message)
{
    token_message answer{token_message_type::lent, 0, {}};
    for (const auto& it : message.items)
        if (const auto count = handlers.lend(it); count > 0)
            answer.items.push_back({it.customer, count});
    if (!answer.items.empty())
        send(sender, answer);
}

void token_exchange::accept_grant(const token_message& message)
{
    const auto it = pending_requests.find(message.correlation_id);
    if (it == pending_requests.end() || message.items.size() != 1)
    {
        std::ranges::for_each(message.items, handlers.add_own);
        return;
    }
    it->second->granted = message.items.front().count;
    it->second->timer.cancel();
}

void token_exchange::handle_message(const token_message& message)
{
    switch (message.type)
    {
    case token_message_type::request:
        answer_request(message, handlers.grant);
        break;
    case token_message_type::request_elsewhere:
        answer_request(message, handlers.grant_elsewhere);
        break;
    case token_message_type::granted:
        accept_grant(message);
        break;
    case token_message_type::spare:
        std::ranges::for_each(message.items, handlers.add_spare);
        break;
    case token_message_type::request_lent:
        answer_loan_request(message);
        break;
    case token_message_type::lent:
        std::ranges::for_each(message.items, handlers.add_lent);
        break;
    }
}

void token_exchange::handle_datagram(std::size_t n)
{
    try
    {
        handle_message(unpack_value<token_message>(
            {datagram.data(), n}, sender.address().to_string()));
    }
    catch (const codec_error& ec)
    {
        LOG4CPLUS_WARN(component_logger("tokens"),
                       "event=datagram_ignored detail=\"" << ec.what() << '"');
    }
}

} // namespace parsleyplank::edge
