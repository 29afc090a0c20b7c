#include "mutation.hpp"

#include <array>
#include <string_view>

namespace parsleyplank::fuzz
{

namespace
{

using namespace std::string_view_literals;

// Length fields of MessagePack that claim much, numbers at limits of types, and
// what text formats treat specially.
constexpr std::array tokens{
    "\xdd\xff\xff\xff\xff"sv,
    "\xdc\xff\xff"sv,
    "\xdf\x7f\xff\xff\xff"sv,
    "\xdb\xff\xff\xff\xff"sv,
    "\xc6\x80\x00\x00\x00"sv,
    "\xcf\xff\xff\xff\xff\xff\xff\xff\xff"sv,
    "\xca\x7f\xc0\x00\x00"sv,
    "\xc0"sv,
    "\x90"sv,
    "\x91\x91\x91\x91\x91\x91\x91\x91"sv,
    "[[[[[[[["sv,
    "{\"a\":"sv,
    "-9223372036854775808"sv,
    "18446744073709551616"sv,
    "1e999"sv,
    "nan"sv,
    "\r\n"sv,
    "\r\n "sv,
    "%"sv,
    "%2"sv,
    "%00"sv,
    "&"sv,
    "="sv,
    "\xc3\x28"sv,
    "\xed\xa0\x80"sv,
    "\""sv,
    "'''"sv,
    "\0"sv,
};

std::size_t pick(std::size_t n, std::mt19937_64& rng)
{
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(rng);
}

void overwrite(std::string& input, std::size_t at, std::string_view by)
{
    input.replace(at, std::min(by.size(), input.size() - at), by);
}

void mutate_once(std::string& input, const std::string& other,
                 std::mt19937_64& rng)
{
    const auto at = pick(input.size() + 1, rng);
    const auto token = tokens[pick(tokens.size(), rng)];
    switch (pick(8, rng))
    {
    case 0:
        if (at < input.size())
            input[at] = static_cast<char>(input[at] ^ (1U << pick(8, rng)));
        break;
    case 1:
        input.resize(at);
        break;
    case 2:
        input.insert(at, token);
        break;
    case 3:
        overwrite(input, at, token);
        break;
    case 4:
        input.erase(at, 1 + pick(8, rng));
        break;
    case 5:
        input.insert(at, input.substr(pick(input.size() + 1, rng), 64));
        break;
    case 6:
        input.replace(at, 16, other, pick(other.size() + 1, rng), 64);
        break;
    default:
        input.insert(at, 1 + pick(300, rng), static_cast<char>(rng()));
        break;
    }
}

} // namespace

std::string mutate(const std::vector<std::string>& samples,
                   std::mt19937_64& rng)
{
    auto input = samples[pick(samples.size(), rng)];
    const auto& other = samples[pick(samples.size(), rng)];
    for (auto n = 1 + pick(4, rng); n > 0; --n)
        mutate_once(input, other, rng);
    input.resize(std::min(input.size(), max_input_bytes));
    return input;
}

} // namespace parsleyplank::fuzz
