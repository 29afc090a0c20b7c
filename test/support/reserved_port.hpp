#ifndef PARSLEYPLANK_TEST_SUPPORT_RESERVED_PORT_HPP
#define PARSLEYPLANK_TEST_SUPPORT_RESERVED_PORT_HPP

// Loopback ports for listeners that a test starts later. A reservation keeps
// the port bound, so that neither another listener nor the local end of a
// connection takes it meanwhile.

#include <cstdint>
#include <utility>

namespace parsleyplank::test
{

// A port of 127.0.0.1 on which a listener with the option SO_REUSEADDR can be
// started, more than once, as long as the reservation exists.
class reserved_port
{
public:
    // Reserves a free port. Throws std::runtime_error if there is none.
    reserved_port();

    // Reserves this port. Throws std::runtime_error if it is in use.
    explicit reserved_port(std::uint16_t number);

    ~reserved_port();
    reserved_port(reserved_port&& other) noexcept
        : socket(std::exchange(other.socket, -1)),
          bound_number(other.bound_number)
    {
    }
    reserved_port(const reserved_port&) = delete;
    reserved_port& operator=(const reserved_port&) = delete;

    std::uint16_t number() const
    {
        return bound_number;
    }

private:
    int socket = -1;
    std::uint16_t bound_number = 0;
};

// Two successive ports, which were free for datagrams as well at the time of
// the call.
struct reserved_port_pair
{
    reserved_port first;
    reserved_port second;
};

// Reserves two successive ports. Throws std::runtime_error if it finds none.
reserved_port_pair reserve_port_pair();

// The ports of one instance.
struct instance_ports
{
    reserved_port callers;
    reserved_port readiness;
    reserved_port directory;
    reserved_port_pair peers = reserve_port_pair();
};

} // namespace parsleyplank::test

#endif
