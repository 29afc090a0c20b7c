#ifndef PARSLEYPLANK_PUBLISH_STORE_ACCESS_HPP
#define PARSLEYPLANK_PUBLISH_STORE_ACCESS_HPP

// The one place where parsleyplank-publish connects to the platform's store.

#include <parsleyplank/store/kv_store.hpp>

#include <memory>
#include <string>

namespace parsleyplank::publish_app
{

// Returns the store at a URL such as http://127.0.0.1:7001. Throws config_error
// if the URL has another form, error if the program was built without the HTTP
// adapter.
std::unique_ptr<store::kv_store> open_store(const std::string& url);

} // namespace parsleyplank::publish_app

#endif
