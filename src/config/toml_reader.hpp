#ifndef PARSLEYPLANK_CONFIG_TOML_READER_HPP
#define PARSLEYPLANK_CONFIG_TOML_READER_HPP

// Reads one TOML table with the location of each problem; used by service_file
// only. A value of the wrong type is never printed: it could be an API key.

#include <parsleyplank/config/service_file.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace parsleyplank::config
{

class table_reader
{
public:
    // Problems name the item; the table and the collection must outlive the
    // reader.
    table_reader(collected_files& to, std::string file_name, std::string item,
                 const toml::table& table);

    // Names the item from here on and notes where it stands.
    void rename(const std::string& item);

    // Notes where an item stands that is one element of an array.
    void note_element(const std::string& item, const std::string& key,
                      std::size_t at);

    // Each returns the value of a key, or the default if the key is absent. The
    // hint shows the right form in problems. Without a default an absent key is
    // a problem.
    std::string text(const std::string& key, const std::string& hint,
                     const std::optional<std::string>& absent = {});
    std::vector<std::string> texts(const std::string& key,
                                   const std::string& hint,
                                   bool required = false);
    bool flag(const std::string& key, bool absent);
    double number(const std::string& key, const std::string& hint,
                  std::optional<double> absent = {});
    std::int64_t integer(const std::string& key, const std::string& hint,
                         std::int64_t least, std::int64_t most,
                         std::optional<std::int64_t> absent = {});

    template <typename Duration>
    Duration duration(const std::string& key, const std::string& hint,
                      Duration absent)
    {
        // A year; longer durations are typing errors.
        constexpr auto most =
            std::chrono::duration_cast<Duration>(std::chrono::hours(24 * 366));
        return Duration(integer(key, hint, 0, most.count(), absent.count()));
    }

    // Returns the tables below [[key]], none if it is absent.
    std::vector<const toml::table*> tables(const std::string& key);

    // Returns the table [key] or nullptr.
    const toml::table* table(const std::string& key);

    // Reports a problem of the key's line, or of the table if it is absent.
    void report(const std::string& key, const std::string& text);

    // Reports keys that were not asked for. Call last.
    void end();

private:
    const toml::node* take(const std::string& key, const std::string& hint,
                           bool required);
    std::string place(const toml::node& node) const;
    void note(const std::string& item, const toml::node& node);

    collected_files& files;
    std::string file;
    std::string name;
    const toml::table& source;
    std::set<std::string> known;
};

// Reads each table below [[key]] by a function of its reader and appends the
// result to the list.
template <typename Item, typename Function>
void read_list(table_reader& from, const std::string& key,
               collected_files& files, const std::string& file,
               std::vector<Item>& list, Function read)
{
    for (const toml::table* table : from.tables(key))
    {
        table_reader item(files, file, key, *table);
        list.push_back(read(item));
        item.end();
    }
}

// Returns the names as ids.
template <typename Id>
std::vector<Id> to_ids(const std::vector<std::string>& names)
{
    std::vector<Id> ids;
    std::ranges::transform(names, std::back_inserter(ids),
                           [](const std::string& name) { return Id(name); });
    return ids;
}

inline constexpr double ppm_per_percent = 10'000;

// Returns a share given in percent. One above 100% stays above, for validate to
// report.
share_ppm from_percent(double percent);

} // namespace parsleyplank::config

#endif
