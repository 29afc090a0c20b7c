#include "order_client.hpp"

namespace review
{

order_client::order_client(const std::string& whose, std::uint16_t where,
                           const std::string& route, milliseconds between,
                           record& to, const std::string& api_key)
    : name(whose), path(route), key(api_key), port(where), pause(between),
      log(to), thread([this] { run(); })
{
}

order_client::~order_client()
{
    stop();
}

void order_client::stop()
{
    stopping = true;
    if (thread.joinable())
        thread.join();
}

void order_client::run()
{
    for (int n = 1; !stopping; ++n)
    {
        sent.push_back({name + "-" + std::to_string(n), clock::now()});
        auto& it = sent.back();
        if (!send(it))
            socket.reset();
        if (it.status != 200)
            log.add(
                it.id + " gets " +
                (it.status == 0 ? "no response" : std::to_string(it.status)));
        std::this_thread::sleep_for(pause);
    }
}

// Returns whether the connection can be used again.
bool order_client::send(order& it)
{
    constexpr unsigned http_1_1 = 11;
    boost::system::error_code ec;
    if (!socket)
    {
        buffer.clear();
        socket.emplace(io);
        socket->connect({asio::ip::make_address("127.0.0.1"), port}, ec);
        if (ec)
            return false;
        socket->set_option(tcp::no_delay(true), ec);
    }
    request message(http::verb::post, path + it.id, http_1_1);
    message.set(http::field::host, "shop.example");
    message.set("Parsleyplank-Request-Id", it.id);
    message.set("Parsleyplank-Deadline-Ms", "2500");
    if (!key.empty())
        message.set("Api-Key", key);
    message.body() = "order " + it.id;
    message.prepare_payload();
    http::write(*socket, message, ec);
    response answer;
    if (!ec)
        http::read(*socket, buffer, answer, ec);
    if (ec)
        return false;
    it.status = answer.result_int();
    return answer.keep_alive();
}

} // namespace review
