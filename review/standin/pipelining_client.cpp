#include "pipelining_client.hpp"

#include <sys/socket.h>

namespace review
{

pipelining_client::pipelining_client(const std::string& whose,
                                     std::uint16_t port,
                                     const std::string& where,
                                     milliseconds pause, milliseconds limit,
                                     record& to)
    : name(whose), path(where), interval(pause), deadline(limit), log(to),
      socket(io)
{
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    socket.set_option(tcp::no_delay(true));
    writer = std::thread([this] { send_requests(); });
    reader = std::thread([this] { read_responses(); });
}

pipelining_client::~pipelining_client()
{
    stop();
}

void pipelining_client::stop()
{
    {
        const std::lock_guard lock(mutex);
        stopping = true;
    }
    changed.notify_all();
    if (writer.joinable())
        writer.join();
    if (reader.joinable())
        reader.join();
}

void pipelining_client::send_requests()
{
    constexpr unsigned http_1_1 = 11;
    std::unique_lock lock(mutex);
    for (int n = 1; !stopping && !ended; ++n)
    {
        const auto id = name + "-" + std::to_string(n);
        request it(http::verb::get, path + std::to_string(n), http_1_1);
        it.set(http::field::host, "shop.example");
        it.set("Parsleyplank-Request-Id", id);
        it.set("Parsleyplank-Affinity-Key", std::to_string(n % 20));
        it.set("Parsleyplank-Deadline-Ms", std::to_string(deadline.count()));
        sent.push_back({id, clock::now(), 0, {}});
        log.add(name + " sends " + id);
        changed.notify_all();
        lock.unlock();
        boost::system::error_code ec;
        http::write(socket, it, ec);
        lock.lock();
        if (ec)
            break;
        changed.wait_for(lock, interval, [this] { return stopping || ended; });
    }
    stopping = true;
    changed.notify_all();
}

void pipelining_client::read_responses()
{
    beast::flat_buffer buffer;
    std::unique_lock lock(mutex);
    while (!ended)
    {
        changed.wait(lock,
                     [this] { return stopping || answered < sent.size(); });
        if (answered == sent.size())
            break;
        lock.unlock();
        boost::system::error_code ec;
        response answer;
        http::read(socket, buffer, answer, ec);
        lock.lock();
        auto& it = sent[answered];
        it.ended = clock::now();
        if (ec)
        {
            log.add(name + ": the connection ends: " + ec.message());
            ended = true;
            break;
        }
        it.status = answer.result_int();
        ++answered;
        ended = !answer.keep_alive();
        log.add(name + " gets " + std::to_string(it.status) + " for " + it.id +
                (ended ? ", which closes the connection" : ""));
    }
    ended = true;
    for (auto& it : sent)
        if (it.status == 0)
            it.ended = clock::now();
    changed.notify_all();
    ::shutdown(socket.native_handle(), SHUT_RDWR);
}

} // namespace review
