#ifndef PARSLEYPLANK_PEER_NNG_TRANSPORT_HPP
#define PARSLEYPLANK_PEER_NNG_TRANSPORT_HPP

// Messages between instances over nng: one pull socket that listens, one push
// socket per peer. Push and pull neither re-send nor confirm messages.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/peer/transport.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace parsleyplank::peer
{

struct nng_settings
{
    instance_id self;
    incarnation life;
    // Where the pull socket listens; port 0 takes a free one.
    peer_address listen;
    // Messages held per peer before further ones are dropped; the buffers of
    // the TCP connection come on top. Small, because an old message is of
    // little use.
    int send_buffer_messages = 64;
    // A peer that sends a larger message is disconnected.
    std::size_t max_message_bytes = 4'000'000;
    milliseconds reconnect_min{100};
    milliseconds reconnect_max{1'000};
};

struct transport_counts
{
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t dropped_buffer_full = 0;
    std::uint64_t dropped_unknown_peer = 0;
    // Received bytes that are no envelope.
    std::uint64_t undecodable = 0;
};

// All functions may be called from any thread.
class nng_transport final : public transport
{
public:
    // Listens and starts the receive thread, which calls the handler; the
    // handler must not destroy the transport. An exception of the handler is
    // logged. Throws error, which names the address, if it can't listen.
    nng_transport(const nng_settings& settings, receive_handler handler);

    // Closes all sockets and waits for the receive thread.
    ~nng_transport() override;
    nng_transport(const nng_transport&) = delete;
    nng_transport& operator=(const nng_transport&) = delete;

    bool send(const instance_id& to, message_kind kind,
              const std::string& body) override;
    void replace_peer(const instance_id& id,
                      const peer_address& where) override;
    void remove_peer(const instance_id& id) override;

    // Returns the port that the pull socket listens on.
    std::uint16_t port() const;

    // Returns the counts so far.
    transport_counts counts() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace parsleyplank::peer

#endif
