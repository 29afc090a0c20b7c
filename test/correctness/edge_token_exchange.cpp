// Tests the exchange of tokens between instances: they request tokens from the
// pool, and a failed pool delays a request only until the timeout.

#include <parsleyplank/edge/token_exchange.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <support/edge_fixture.hpp>

using namespace parsleyplank;
using namespace parsleyplank::edge;

namespace
{

steering::server_endpoint loopback()
{
    proxy::asio::io_context io;
    const proxy::asio::ip::udp::socket probe(
        io, {proxy::asio::ip::address_v4::loopback(), 0});
    return {"127.0.0.1", probe.local_endpoint().port()};
}

class edge_token_exchange : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_token_exchange);
    CPPUNIT_TEST(each_token_is_granted_once);
    CPPUNIT_TEST(spare_tokens_reach_the_pool);
    CPPUNIT_TEST(a_pool_lends_to_another_region);
    CPPUNIT_TEST(a_late_grant_is_not_lost);
    CPPUNIT_TEST(an_unanswered_request_ends_as_unknown);
    CPPUNIT_TEST(a_pool_that_may_not_use_its_state_grants_nothing);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t customer = 7;
    using grant = std::optional<std::uint32_t>;
    proxy::asio::io_context io;
    std::uint32_t tokens_left = 2;
    std::uint32_t added_own = 0;
    std::uint32_t added_lent = 0;
    // Whether the pool may use its state.
    bool state_known = true;

    std::uint32_t take(const token_count& wanted)
    {
        const auto count = wanted.customer == customer
                               ? std::min(wanted.count, tokens_left)
                               : 0;
        tokens_left -= count;
        return count;
    }

    token_handlers handlers()
    {
        return {[this](const token_count& it) -> grant
                {
                    if (!state_known)
                        return std::nullopt;
                    return take(it);
                },
                [this](const token_count& it) { return take(it); },
                [this](const token_count& it) { return take(it); },
                [this](const token_count& it) { added_own += it.count; },
                [this](const token_count& it) { tokens_left += it.count; },
                [this](const token_count& it)
                {
                    added_lent += it.count;
                }};
    }

    // Requests single tokens the given number of times and returns the answers.
    std::vector<grant> request_token(token_exchange& from,
                                     const steering::server_endpoint& to,
                                     std::size_t times)
    {
        std::vector<grant> answers;
        proxy::asio::co_spawn(
            io,
            [&]() -> proxy::asio::awaitable<void>
            {
                for (std::size_t i = 0; i < times; ++i)
                    answers.push_back(co_await from.request_tokens(
                        to, token_count{customer, 1}));
            },
            proxy::asio::detached);
        io.restart();
        while (answers.size() < times && io.run_one() > 0)
        {
        }
        return answers;
    }

    // Handles events until the counter is not 0.
    void run_until_set(const std::uint32_t& counter)
    {
        io.restart();
        while (counter == 0 && io.run_one_for(std::chrono::seconds(10)) > 0)
        {
        }
        CPPUNIT_ASSERT(counter > 0);
    }

public:
    void setUp() override
    {
        tokens_left = 2;
        added_own = 0;
        added_lent = 0;
        state_known = true;
    }

    // Failure scenario: the rate of a customer with a few requests per second
    // is divided among 64 instances, none of which has a whole token. 8% of all
    // requests were refused although they were within the rate.
    void each_token_is_granted_once()
    {
        const auto pool_address = loopback();
        const token_exchange pool(io, pool_address, handlers());
        token_exchange asking(io, loopback(), handlers());
        const std::vector<grant> expected{1, 1, 0};
        CPPUNIT_ASSERT(request_token(asking, pool_address, 3) == expected);
    }

    void spare_tokens_reach_the_pool()
    {
        const auto pool_address = loopback();
        const token_exchange pool(io, pool_address, handlers());
        token_exchange asking(io, loopback(), handlers());
        request_token(asking, pool_address, 3);
        asking.send_transfers({{{pool_address, {{customer, 1}}}}, {}, {}});
        run_until_set(tokens_left);
        CPPUNIT_ASSERT(request_token(asking, pool_address, 1).front() ==
                       grant(1));
    }

    void a_pool_lends_to_another_region()
    {
        const auto pool_address = loopback();
        const token_exchange pool(io, pool_address, handlers());
        token_exchange asking(io, loopback(), handlers());
        asking.send_transfers({{}, {}, {{pool_address, {{customer, 5}}}}});
        run_until_set(added_lent);
        CPPUNIT_ASSERT_EQUAL(2U, added_lent);
        CPPUNIT_ASSERT_EQUAL(0U, tokens_left);
    }

    // Failure scenario: a pool was paused, and the rates have been divided
    // anew since.
    void a_pool_that_may_not_use_its_state_grants_nothing()
    {
        state_known = false;
        const auto pool_address = loopback();
        const token_exchange pool(io, pool_address, handlers());
        token_exchange asking(io, loopback(), handlers());
        CPPUNIT_ASSERT(request_token(asking, pool_address, 1).front() ==
                       std::nullopt);
        CPPUNIT_ASSERT_EQUAL(2U, tokens_left);
    }

    void an_unanswered_request_ends_as_unknown()
    {
        token_exchange asking(io, loopback(), handlers());
        CPPUNIT_ASSERT(request_token(asking, loopback(), 1).front() ==
                       std::nullopt);
    }

    // The pool answers after the request has ended: its tokens are used for the
    // next one.
    void a_late_grant_is_not_lost()
    {
        const auto pool_address = loopback();
        token_exchange asking(io, loopback(), handlers());
        proxy::asio::ip::udp::socket pool(
            io, {proxy::asio::ip::make_address(pool_address.address),
                 pool_address.port});
        CPPUNIT_ASSERT(request_token(asking, pool_address, 1).front() ==
                       std::nullopt);
        std::array<char, 1'400> buf{};
        proxy::asio::ip::udp::endpoint sender;
        const auto n = pool.receive_from(proxy::asio::buffer(buf), sender);
        auto message =
            unpack_value<token_message>({buf.data(), n}, "the instance");
        message.type = token_message_type::granted;
        pool.send_to(proxy::asio::buffer(pack_value(message)), sender);
        run_until_set(added_own);
        CPPUNIT_ASSERT_EQUAL(1U, added_own);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_token_exchange);

} // namespace
