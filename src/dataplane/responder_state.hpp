#ifndef PARSLEYPLANK_DATAPLANE_RESPONDER_STATE_HPP
#define PARSLEYPLANK_DATAPLANE_RESPONDER_STATE_HPP

// The one request that the copies of a responder share.

#include <parsleyplank/dataplane/front_connection.hpp>

#include <atomic>
#include <memory>

namespace parsleyplank::dataplane
{

class responder::state
{
public:
    // Assumes that the core counts the request as outstanding.
    state(std::shared_ptr<front_core> shared_core,
          std::shared_ptr<front_connection> its_connection);
    ~state();

    state(const state&) = delete;
    state& operator=(const state&) = delete;

    bool complete(const outbound_response& response);
    void name_request(const std::string& id);
    bool caller_gone() const;

private:
    std::shared_ptr<front_core> core;
    std::shared_ptr<front_connection> connection;
    std::atomic<bool> done = false;
};

// Returns the response of a request that nothing answered.
outbound_response make_unanswered();

} // namespace parsleyplank::dataplane

#endif
