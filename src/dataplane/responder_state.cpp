#include <parsleyplank/dataplane/responder_state.hpp>

#include <utility>

namespace parsleyplank::dataplane
{

responder::state::state(std::shared_ptr<front_core> shared_core,
                        std::shared_ptr<front_connection> its_connection)
    : core(std::move(shared_core)), connection(std::move(its_connection))
{
}

responder::state::~state()
{
    complete(make_unanswered());
}

bool responder::state::complete(const outbound_response& response)
{
    if (done.exchange(true))
        return false;
    const bool sent = connection->complete(response);
    add_to(*core, &front_core::outstanding, -1);
    return sent;
}

void responder::state::name_request(const std::string& id)
{
    if (!done)
        connection->name_request(id);
}

bool responder::state::caller_gone() const
{
    return connection->ended();
}

responder::responder(std::shared_ptr<state> request_state)
    : shared(std::move(request_state))
{
}

bool responder::complete(const outbound_response& response) const
{
    return shared->complete(response);
}

void responder::name_request(const std::string& id) const
{
    shared->name_request(id);
}

bool responder::caller_gone() const
{
    return shared->caller_gone();
}

outbound_response make_unanswered()
{
    outbound_response response;
    response.status = 500;
    response.headers = {{"Content-Type", "text/plain"},
                        {"X-Parsleyplank-Outcome",
                         std::string(to_string(run_outcome::unknown))}};
    response.body = "internal error\n";
    return response;
}

outbound_response make_refusal(refusal_reason reason, run_outcome outcome)
{
    outbound_response response;
    response.status = http_status(reason);
    response.headers = {
        {"Content-Type", "text/plain"},
        {"X-Parsleyplank-Reason", std::string(to_string(reason))},
        {"X-Parsleyplank-Outcome", std::string(to_string(outcome))}};
    response.body = std::string(to_string(reason)) + "\n";
    return response;
}

} // namespace parsleyplank::dataplane
