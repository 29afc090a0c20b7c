#ifndef PARSLEYPLANK_PROXY_MEMORY_BUDGET_HPP
#define PARSLEYPLANK_PROXY_MEMORY_BUDGET_HPP

// Bounds the memory that the bodies or the connections of a process hold
// together. When it is exhausted, the holder with the most gives its memory
// back, the oldest first among equals, so that a few servers that never stop
// sending, or callers that never finish, do not take it from the others. Not
// thread-safe: used by one thread only.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace parsleyplank::proxy
{

class memory_budget;

// Limit of a budget that is not derived from the memory of the process.
constexpr std::size_t default_body_bytes = 64'000'000;

// Memory that one holder has. Returned to the budget by the destructor.
class memory_reservation
{
public:
    // Holds nothing. The total of the budget may not grow beyond `max_total`
    // bytes by this reservation. `on_reclaim` is called at most once, when the
    // budget takes the memory back; without it, it never does. It may do so
    // only while `may_reclaim` returns true, if that is given.
    memory_reservation(std::shared_ptr<memory_budget> from,
                       std::size_t max_total,
                       std::function<void()> on_reclaim = nullptr,
                       std::function<bool()> may_reclaim = nullptr);
    ~memory_reservation();

    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;

    // Changes the size to `n` bytes. Larger reservations give their memory back
    // if that is needed. Returns false and changes nothing if `n` does not fit
    // even then.
    bool resize(std::size_t n);

    // As resize(), with another limit on the total of the budget.
    bool resize_within(std::size_t n, std::size_t max_total);

    // Changes the size to `n` bytes, also beyond the limit of the budget: for
    // memory that is held already.
    void charge(std::size_t n);

    // Lets the budget take the memory back from now on, as with the callbacks
    // of the constructor.
    void offer(std::function<void()> on_reclaim,
               std::function<bool()> may_reclaim);

    // Keeps the memory until the destructor: the body is complete.
    void keep();

    std::size_t size() const;

private:
    friend class memory_budget;

    // Returns the memory and notifies the holder.
    void reclaim();

    std::shared_ptr<memory_budget> budget;
    std::size_t total_limit;
    std::function<void()> notify;
    std::function<bool()> allowed;
    // Rises with each reservation of the budget.
    std::uint64_t number;
    std::size_t bytes = 0;
};

using memory_reservation_ptr = std::shared_ptr<memory_reservation>;

// Makes room for `n` more bytes in a body whose memory is reserved. The body
// grows by doubling, during which it is held twice. Returns false and changes
// nothing if there is no memory for that.
bool reserve_room(std::string& body, std::size_t n, memory_reservation& memory);

class memory_budget
{
public:
    // `max_bytes` is the largest total size of all reservations.
    explicit memory_budget(std::size_t max_bytes);

    std::size_t limit() const;
    std::size_t used() const;

private:
    friend class memory_reservation;

    // Makes the largest reservation that can be reclaimed and is larger than
    // `n` bytes, other than `except`, give its memory back. Returns false if
    // there is none.
    bool reclaim_larger_than(std::size_t n, const memory_reservation* except);

    std::size_t max_total;
    std::size_t total = 0;
    std::uint64_t last_number = 0;
    std::set<memory_reservation*> reclaimable;
};

} // namespace parsleyplank::proxy

#endif
