#ifndef PARSLEYPLANK_SETTINGS_TABLE_READER_HPP
#define PARSLEYPLANK_SETTINGS_TABLE_READER_HPP

// Reads the settings file of a process: TOML sections whose problems are all
// collected, each with file and line, before the file is rejected.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/error.hpp>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace parsleyplank::settings_file
{

// Reads the members of one table and collects what is wrong with them. A value
// keeps its default if its key is absent or wrong. The table, the file name and
// the problems must outlive the reader.
class table_reader
{
public:
    table_reader(const toml::table& root, std::string section,
                 const std::string& file, std::vector<std::string>& problems);

    // A text; a required one must not be empty.
    void text(const char* key, std::string& value, bool required);

    void flag(const char* key, bool& value);

    // A fraction of at least 0.
    void fraction(const char* key, double& value, bool required);

    // A text of a number and its unit, "ms" or "s". An empty one that is not
    // required counts as absent.
    void duration(const char* key, milliseconds& value, bool required);

    // A whole number, which may be written with a fraction of zero.
    template <typename Number>
    void number(const char* key, Number& value, std::int64_t least,
                bool required)
    {
        const auto* node = find(key, required);
        if (node == nullptr)
            return;
        const auto found = whole_number(*node);
        constexpr auto most = static_cast<std::int64_t>(
            std::min<std::uint64_t>(std::numeric_limits<Number>::max(),
                                    std::numeric_limits<std::int64_t>::max()));
        if (found && *found >= least && *found <= most)
            value = static_cast<Number>(*found);
        else
            report(*node, std::string(key) + " must be a whole number from " +
                              std::to_string(least) + " to " +
                              std::to_string(most));
    }

    // A required IP address.
    void address(const char* key, std::string& value);

    // A text "IP:PORT".
    void endpoint(const char* key, std::string& ip, std::uint16_t& port,
                  bool required);

    // Calls the function with each key of the table and its text.
    void texts(const std::function<void(const std::string& key,
                                        const std::string& value)>& take);

    // Reports keys that were not asked for. Call last.
    void reject_unknown();

private:
    static std::optional<std::int64_t> whole_number(const toml::node& node);
    const toml::node* find(const char* key, bool required);
    void report(const toml::node& node, const std::string& text);

    const toml::table* table = nullptr;
    std::string section;
    const std::string& file;
    std::vector<std::string>& problems;
    std::set<std::string> seen;
};

// Returns the duration that a text of a number and its unit holds, e.g.
// "1500ms" or "2.5s"; nothing if it holds none.
std::optional<milliseconds> parse_duration(std::string_view text);

using section_reader =
    std::function<void(const toml::table&, std::vector<std::string>&)>;

// Parses the text and has its sections read. The name stands for the file in
// messages. Throws config_error that lists every problem with file and line,
// sections that are not known among them.
void parse_sections(std::string_view text, const std::string& name,
                    const std::vector<std::string>& known,
                    const section_reader& read);

// Returns the text of a file. Throws config_error if it can't be read.
std::string read_text(const std::filesystem::path& file);

} // namespace parsleyplank::settings_file

#endif
