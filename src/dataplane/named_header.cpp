#include <parsleyplank/dataplane/named_header.hpp>

#include <algorithm>
#include <memory>
#include <ostream>

namespace parsleyplank::dataplane
{

namespace
{

class named_header final : public Pistache::Http::Header::Header
{
public:
    explicit named_header(header_field its_field) : field(std::move(its_field))
    {
    }

    const char* name() const override
    {
        return field.name.c_str();
    }

    void write(std::ostream& stream) const override
    {
        stream << field.value;
    }

    std::uint64_t hash() const override
    {
        return Pistache::Http::Header::detail::hash(field.name.c_str());
    }

private:
    header_field field;
};

bool is_control(unsigned char c)
{
    return (c < 0x20 && c != '\t') || c == 0x7F;
}

} // namespace

void add_header(Pistache::Http::ResponseWriter& writer,
                const header_field& field)
{
    if (field.name.empty() || std::ranges::any_of(field.name, is_control) ||
        std::ranges::any_of(field.value, is_control))
        return;
    writer.headers().add(std::make_shared<named_header>(field));
}

} // namespace parsleyplank::dataplane
