#ifndef PARSLEYPLANK_SUPPORT_TEMPLATE_TEXT_HPP
#define PARSLEYPLANK_SUPPORT_TEMPLATE_TEXT_HPP

// Fills in a settings template as the users' platform does.

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace parsleyplank::test
{

// Returns the text with the placeholders and sections that are used in
// deploy/settings.toml.in: {{a.b}}, {{.}}, {{@}}, {{#a}}..{{/a}}. A field that
// is absent gives no text. Throws std::invalid_argument if a section is not
// closed.
std::string render_template(std::string_view text,
                            const nlohmann::json& fields);

} // namespace parsleyplank::test

#endif
