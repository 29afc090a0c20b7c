#ifndef PARSLEYPLANK_PROXY_BODY_BUDGET_HPP
#define PARSLEYPLANK_PROXY_BODY_BUDGET_HPP

// Bounds the memory that all request and response bodies of a process hold
// together. When it is exhausted, the response that holds the most gives its
// memory back, so that a few servers that never stop sending do not take it
// from the others. Not thread-safe: used by the traffic thread only.

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace parsleyplank::proxy
{

class body_budget;

// Limit of a budget that is not derived from the memory of the process.
constexpr std::size_t default_body_bytes = 64'000'000;

// Memory that one body holds. Returned to the budget by the destructor.
class body_reservation
{
public:
    // Holds nothing. The total of the budget may not grow beyond `max_total`
    // bytes by this reservation. `on_reclaim` is called at most once, when the
    // budget takes the memory back; without it, it never does.
    body_reservation(std::shared_ptr<body_budget> from, std::size_t max_total,
                     std::function<void()> on_reclaim = nullptr);
    ~body_reservation();

    body_reservation(const body_reservation&) = delete;
    body_reservation& operator=(const body_reservation&) = delete;

    // Changes the size to `n` bytes. Larger reservations give their memory back
    // if that is needed. Returns false and changes nothing if `n` does not fit
    // even then.
    bool resize(std::size_t n);

    // Keeps the memory until the destructor: the body is complete.
    void keep();

    std::size_t size() const;

private:
    friend class body_budget;

    // Returns the memory and notifies the holder.
    void reclaim();

    std::shared_ptr<body_budget> budget;
    std::size_t total_limit;
    std::function<void()> notify;
    std::size_t bytes = 0;
};

using body_reservation_ptr = std::shared_ptr<body_reservation>;

// Makes room for `n` more bytes in a body whose memory is reserved. The body
// grows by doubling, during which it is held twice. Returns false and changes
// nothing if there is no memory for that.
bool reserve_room(std::string& body, std::size_t n, body_reservation& memory);

class body_budget
{
public:
    // `max_bytes` is the largest total size of all reservations.
    explicit body_budget(std::size_t max_bytes);

    std::size_t limit() const;
    std::size_t used() const;

private:
    friend class body_reservation;

    // Makes the largest reservation that can be reclaimed and is larger than
    // `n` bytes, other than `except`, give its memory back. Returns false if
    // there is none.
    bool reclaim_larger_than(std::size_t n, const body_reservation* except);

    std::size_t max_total;
    std::size_t total = 0;
    std::set<body_reservation*> reclaimable;
};

} // namespace parsleyplank::proxy

#endif
