#include <parsleyplank/core/error.hpp>
#include <parsleyplank/core/log.hpp>
#include <parsleyplank/edge/token_exchange.hpp>

#include <log4cplus/loggingmacros.h>

namespace parsleyplank::edge
{

namespace
{

using udp = proxy::asio::ip::udp;

// The holder is in the same region, so an answer that takes longer is most
// likely lost, and the request of the caller should not wait for it.
constexpr milliseconds answer_timeout{60};

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
                               token_holder held)
    : io(context), socket(open_socket(io, where)), holder(std::move(held))
{
    receive();
}

proxy::asio::awaitable<token_answer>
token_exchange::request_token(const steering::server_endpoint& to,
                              std::uint32_t customer)
{
    const auto correlation_id = next_correlation_id++;
    pending_request entry(io);
    pending_requests[correlation_id] = &entry;
    send(to_endpoint(to),
         {token_message_type::request_token, correlation_id, customer});
    entry.timer.expires_after(answer_timeout);
    proxy::error_code ec;
    co_await entry.timer.async_wait(
        proxy::asio::redirect_error(proxy::asio::use_awaitable, ec));
    pending_requests.erase(correlation_id);
    co_return entry.answer;
}

void token_exchange::return_token(const steering::server_endpoint& to,
                                  std::uint32_t customer)
{
    send(to_endpoint(to), {token_message_type::return_token, 0, customer});
}

void token_exchange::send(const udp::endpoint& to, const token_message& message)
{
    const auto bytes = pack_value(message);
    proxy::error_code ec;
    // A datagram that can't be sent is treated as lost; the request then times
    // out.
    socket.send_to(proxy::asio::buffer(bytes), to, 0, ec);
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

void token_exchange::answer_request(const token_message& message)
{
    const auto answer = holder.take(message.customer);
    if (answer == token_answer::unknown)
        return;
    send(sender, {answer == token_answer::granted ? token_message_type::granted
                                                  : token_message_type::refused,
                  message.correlation_id, message.customer});
}

void token_exchange::handle_datagram(std::size_t n)
{
    try
    {
        const auto message = unpack_value<token_message>(
            {datagram.data(), n}, sender.address().to_string());
        switch (message.type)
        {
        case token_message_type::request_token:
            answer_request(message);
            return;
        case token_message_type::return_token:
            holder.return_token(message.customer);
            return;
        case token_message_type::granted:
        case token_message_type::refused:
            break;
        }
        const auto it = pending_requests.find(message.correlation_id);
        if (it == pending_requests.end())
            return;
        it->second->answer = message.type == token_message_type::granted
                                 ? token_answer::granted
                                 : token_answer::refused;
        it->second->timer.cancel();
    }
    catch (const codec_error& ec)
    {
        LOG4CPLUS_WARN(component_logger("tokens"),
                       "event=datagram_ignored detail=\"" << ec.what() << '"');
    }
}

} // namespace parsleyplank::edge
