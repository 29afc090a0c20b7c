#ifndef PARSLEYPLANK_TEST_SUPPORT_FAKE_NETWORK_HPP
#define PARSLEYPLANK_TEST_SUPPORT_FAKE_NETWORK_HPP

// Messages between instances in the test's own process. Loses, repeats, delays
// and reorders them from a seeded random source, so a run repeats exactly.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/peer/transport.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace parsleyplank::test
{

struct network_faults
{
    // Probabilities per message.
    double loss = 0;
    double duplicate = 0;
    // Delays are uniform between the two; unequal delays reorder messages.
    milliseconds min_delay{1};
    milliseconds max_delay{1};
};

class fake_network
{
public:
    // The clock must live as long as the network.
    fake_network(const clock& time, std::uint64_t seed,
                 network_faults faults = {});
    ~fake_network();

    // Adds an instance and returns its transport. Joining again replaces the
    // earlier one, as a restart does; the earlier transport then sends and
    // receives nothing.
    std::unique_ptr<peer::transport> join(const instance_id& id,
                                          incarnation life,
                                          peer::receive_handler handler);

    // Takes an instance off the network, as a kill does.
    void leave(const instance_id& id);

    // Drops the messages from one instance to another until unblocked; one
    // direction only.
    void block(const instance_id& from, const instance_id& to);
    void unblock(const instance_id& from, const instance_id& to);

    void set_faults(const network_faults& changed);

    // Delivers the messages whose time has come, in order of their time. The
    // handlers may send further messages.
    void deliver();

    // Number of messages under way.
    std::size_t under_way() const;

private:
    class endpoint;
    struct member
    {
        std::uint64_t number = 0;
        peer::receive_handler handler;
    };
    struct parcel
    {
        instance_id to;
        std::string bytes;
    };

    void submit(const instance_id& from, const instance_id& to,
                const std::string& bytes);
    void put_under_way(const instance_id& to, const std::string& bytes);

    const clock& time;
    std::mt19937_64 random;
    network_faults faults;
    std::uint64_t joined = 0;
    std::map<instance_id, member> members;
    std::set<std::pair<instance_id, instance_id>> blocked;
    std::multimap<time_point, parcel> parcels;
};

} // namespace parsleyplank::test

#endif
