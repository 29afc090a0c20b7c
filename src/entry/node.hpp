#ifndef PARSLEYPLANK_ENTRY_NODE_HPP
#define PARSLEYPLANK_ENTRY_NODE_HPP

// An entry instance: puts the parts together, owns their threads and leads the
// instance from start to graceful shutdown.

#include <parsleyplank/entry/confirmation.hpp>
#include <parsleyplank/entry/request_flow.hpp>
#include <parsleyplank/peer/nng_transport.hpp>
#include <parsleyplank/store/instance_list.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace parsleyplank::entry
{

class node
{
public:
    // Binds the ports and starts the threads. Throws error if a port can't be
    // bound.
    explicit node(const settings& config);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    // Runs the control loop until a graceful shutdown is complete.
    void run();

    // Starts a graceful shutdown; any thread may call, more than once. Look-ups
    // leave this instance out at once, it serves until cached look-up answers
    // have expired and its requests have ended, and hands its share over.
    void begin_drain();

private:
    enum class drain_phase
    {
        serving,
        waiting_for_caches,
        finishing,
        closing
    };

    void connect_parts();
    void start_timers();
    void handle_message(const peer::envelope& message);
    void adopt_config();
    void publish_snapshot();
    void refresh_members();
    void update_gauges();
    void poll_list();

    void step_drain();
    void enter_finishing();
    void enter_closing();
    bool closing_ended() const;
    bool drained() const;

    void handle_caller(dataplane::inbound_request in,
                       const dataplane::responder& out);
    void handle_admin(const dataplane::inbound_request& in,
                      const dataplane::responder& out);

    settings config;
    system_clock time;
    telemetry::metrics counters;
    snapshot_slot snapshot;
    event_loop loop;
    std::atomic<std::uint64_t> next_request{1};
    std::atomic<bool> stopping{false};
    // Set at the end of a drain, before the control loop stops.
    std::atomic<bool> refusing{false};

    // Destroyed in reverse order: threads that post to the loop end first.
    confirmation_rounds rounds;
    peer_contact contact;
    state_feed feed;
    quota_agent quota;
    claim_agent claims;
    upstream_pool upstreams;
    rollout_agent rollouts;
    decision_log decisions;

    drain_phase phase = drain_phase::serving;
    time_point phase_ends;

    std::unique_ptr<peer::nng_transport> peers;
    std::unique_ptr<store_pool> round_jobs;
    std::unique_ptr<store_pool> store_jobs;
    std::unique_ptr<node_context> context;
    std::unique_ptr<dataplane::backend_client> backends;
    std::unique_ptr<request_flow> flow;
    std::unique_ptr<state_watch> watch;
    std::unique_ptr<dataplane::http_front> admin_front;
    std::unique_ptr<dataplane::http_front> caller_front;
    std::thread list_thread;
};

} // namespace parsleyplank::entry

#endif
