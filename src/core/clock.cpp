#include <parsleyplank/core/clock.hpp>

namespace parsleyplank
{

time_point system_clock::now() const
{
    return std::chrono::steady_clock::now();
}

wall_time system_clock::wall_now() const
{
    return std::chrono::system_clock::now();
}

} // namespace parsleyplank
