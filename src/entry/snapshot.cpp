#include <parsleyplank/entry/snapshot.hpp>

#include <algorithm>

namespace parsleyplank::entry
{

namespace
{

bool matches(const config::route& r, std::string_view method,
             std::string_view path)
{
    if (!path.starts_with(r.path_prefix))
        return false;
    const bool whole_segment = path.size() == r.path_prefix.size() ||
                               r.path_prefix.ends_with('/') ||
                               path[r.path_prefix.size()] == '/';
    return whole_segment &&
           std::ranges::find(r.methods, method) != r.methods.end();
}

} // namespace

std::shared_ptr<const config_tables>
build_tables(const config::adoption& adopted,
             std::shared_ptr<const lookup::block_table> same_blocks)
{
    auto tables = std::make_shared<config_tables>();
    tables->content = adopted.held;
    tables->keys = keys::keyring(*tables->content);
    tables->blocks = std::move(same_blocks);
    if (!tables->blocks)
        tables->blocks = std::make_shared<const lookup::block_table>(
            lookup::make_block_table(*tables->content, adopted.held_manifest,
                                     adopted.parts));
    return tables;
}

const config::route* find_route(const config::bundle& content,
                                std::string_view method, std::string_view path)
{
    const config::route* best = nullptr;
    std::ranges::for_each(
        content.routes,
        [&](const config::route& r)
        {
            if (matches(r, method, path) &&
                (best == nullptr ||
                 r.path_prefix.size() > best->path_prefix.size()))
                best = &r;
        });
    return best;
}

const config::customer* find_customer(const config::bundle& content,
                                      const customer_id& id)
{
    const auto it =
        std::ranges::find(content.customers, id, &config::customer::id);
    return it == content.customers.end() ? nullptr : &*it;
}

} // namespace parsleyplank::entry
