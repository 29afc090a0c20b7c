#ifndef PARSLEYPLANK_PEER_TRANSPORT_HPP
#define PARSLEYPLANK_PEER_TRANSPORT_HPP

// How an instance sends messages to its peers. Messages may be lost, repeated,
// late and out of order.

#include <parsleyplank/peer/message.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace parsleyplank::peer
{

struct peer_address
{
    // IP address.
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const peer_address&) const = default;
};

// Called for each received message, on a thread of the transport.
using receive_handler = std::function<void(const envelope&)>;

class transport
{
public:
    virtual ~transport() = default;

    // Hands a message over for sending. Never blocks. Returns false if it was
    // dropped: the peer is unknown or its buffer is full. True does not mean
    // that it arrives.
    virtual bool send(const instance_id& to, message_kind kind,
                      const std::string& body) = 0;

    // Makes the peer known or, if it is known already, drops its connection
    // with all that is buffered and dials again. Throws error if the address
    // is not usable.
    virtual void replace_peer(const instance_id& id,
                              const peer_address& where) = 0;

    // Drops the peer's connection. Does nothing if the peer is unknown.
    virtual void remove_peer(const instance_id& id) = 0;
};

} // namespace parsleyplank::peer

#endif
