#include "record.hpp"

#include <cstdlib>
#include <iomanip>
#include <stdexcept>

namespace review2
{

record::record(const std::string& file) : out(file)
{
    if (!out)
        throw std::runtime_error(file + " can't be written");
}

void record::add(const std::string& line)
{
    const std::lock_guard lock(guard);
    const std::chrono::duration<double> at = clock::now() - start;
    out << std::fixed << std::setprecision(3) << std::setw(8) << at.count()
        << "  " << line << std::endl;
}

std::string printable(std::string_view bytes)
{
    constexpr std::size_t longest = 200;
    std::string text;
    for (const char c : bytes.substr(0, longest))
        if (c == '\r')
            text += "\\r";
        else if (c == '\n')
            text += "\\n";
        else
            text += c;
    return bytes.size() > longest ? text + "..." : text;
}

bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

} // namespace review2
