#include "support/fake_network.hpp"

namespace parsleyplank::test
{

// One instance's way into the network.
class fake_network::endpoint final : public peer::transport
{
public:
    endpoint(fake_network& network, instance_id self, incarnation life,
             std::uint64_t number)
        : network(network), self(std::move(self)), life(life), number(number)
    {
    }

    bool send(const instance_id& to, peer::message_kind kind,
              const std::string& body) override
    {
        const auto it = network.members.find(self);
        if (it == network.members.end() || it->second.number != number ||
            !peers.contains(to))
            return false;
        const auto bytes =
            peer::encode_envelope({self, life, ++sequence, kind, body});
        network.submit(self, to, bytes);
        return true;
    }

    void replace_peer(const instance_id& id,
                      const peer::peer_address& /*where*/) override
    {
        peers.insert(id);
    }

    void remove_peer(const instance_id& id) override
    {
        peers.erase(id);
    }

private:
    fake_network& network;
    const instance_id self;
    const incarnation life;
    const std::uint64_t number;
    std::uint64_t sequence = 0;
    std::set<instance_id> peers;
};

fake_network::fake_network(const clock& time, std::uint64_t seed,
                           network_faults faults)
    : time(time), random(seed), faults(faults)
{
}

fake_network::~fake_network() = default;

std::unique_ptr<peer::transport>
fake_network::join(const instance_id& id, incarnation life,
                   peer::receive_handler handler)
{
    members[id] = {++joined, std::move(handler)};
    return std::make_unique<endpoint>(*this, id, life, joined);
}

void fake_network::leave(const instance_id& id)
{
    members.erase(id);
}

void fake_network::block(const instance_id& from, const instance_id& to)
{
    blocked.emplace(from, to);
}

void fake_network::unblock(const instance_id& from, const instance_id& to)
{
    blocked.erase({from, to});
}

void fake_network::set_faults(const network_faults& changed)
{
    faults = changed;
}

void fake_network::submit(const instance_id& from, const instance_id& to,
                          const std::string& bytes)
{
    // Draws the same random numbers whether or not the message is blocked.
    const bool lost = std::bernoulli_distribution(faults.loss)(random);
    const bool twice = std::bernoulli_distribution(faults.duplicate)(random);
    if (lost || blocked.contains({from, to}))
        return;
    put_under_way(to, bytes);
    if (twice)
        put_under_way(to, bytes);
}

void fake_network::put_under_way(const instance_id& to,
                                 const std::string& bytes)
{
    std::uniform_int_distribution<milliseconds::rep> delay(
        faults.min_delay.count(), faults.max_delay.count());
    parcels.emplace(time.now() + milliseconds(delay(random)),
                    parcel{to, bytes});
}

void fake_network::deliver()
{
    while (!parcels.empty() && parcels.begin()->first <= time.now())
    {
        const auto next = parcels.extract(parcels.begin()).mapped();
        const auto it = members.find(next.to);
        if (it == members.end())
            continue;
        // A copy, because the handler may make its own member leave.
        const auto handler = it->second.handler;
        handler(peer::decode_envelope(next.bytes, "fake network"));
    }
}

std::size_t fake_network::under_way() const
{
    return parcels.size();
}

} // namespace parsleyplank::test
