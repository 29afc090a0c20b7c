#include <parsleyplank/quota/loan.hpp>

namespace parsleyplank::quota
{

customer_key key_of(const customer_id& customer)
{
    return hash64(customer.value);
}

std::string pack_body(const message_body& body)
{
    return std::visit([](const auto& it) { return pack_value(it); }, body);
}

} // namespace parsleyplank::quota
