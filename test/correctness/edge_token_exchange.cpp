// Tests the exchange of tokens for customers with a small rate: other instances
// request tokens from the holder, and a failed holder delays a request only
// until the timeout.

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
    CPPUNIT_TEST(an_unused_token_can_be_returned);
    CPPUNIT_TEST(an_unanswered_request_ends_as_unknown);
    CPPUNIT_TEST(a_holder_that_may_be_replaced_grants_nothing);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t customer = 7;
    proxy::asio::io_context io;
    int tokens_left = 2;
    // Whether the holder knows that it still holds the tokens.
    bool holding_known = true;

    token_holder holder()
    {
        return {[this](std::uint32_t of)
                {
                    if (!holding_known)
                        return token_answer::unknown;
                    const bool granted =
                        of == customer && tokens_left > 0 && tokens_left-- > 0;
                    return granted ? token_answer::granted
                                   : token_answer::refused;
                },
                [this](std::uint32_t)
                {
                    ++tokens_left;
                }};
    }

    // Requests the given number of tokens and returns the answers.
    std::vector<token_answer> request_token(token_exchange& from,
                                            const steering::server_endpoint& to,
                                            std::size_t times)
    {
        std::vector<token_answer> answers;
        proxy::asio::co_spawn(
            io,
            [&]() -> proxy::asio::awaitable<void>
            {
                for (std::size_t i = 0; i < times; ++i)
                    answers.push_back(
                        co_await from.request_token(to, customer));
            },
            proxy::asio::detached);
        io.restart();
        while (answers.size() < times && io.run_one() > 0)
        {
        }
        return answers;
    }

public:
    void setUp() override
    {
        tokens_left = 2;
        holding_known = true;
    }

    // Failure scenario: the rate of a customer with a few requests per second
    // is divided among 64 instances, none of which has a whole token. 8% of all
    // requests were refused although they were within the rate.
    void each_token_is_granted_once()
    {
        const auto holder_address = loopback();
        token_exchange holding(io, holder_address, holder());
        token_exchange asking(io, loopback(), holder());
        const std::vector<token_answer> expected{token_answer::granted,
                                                 token_answer::granted,
                                                 token_answer::refused};
        CPPUNIT_ASSERT(request_token(asking, holder_address, 3) == expected);
    }

    void an_unused_token_can_be_returned()
    {
        const auto holder_address = loopback();
        token_exchange holding(io, holder_address, holder());
        token_exchange asking(io, loopback(), holder());
        request_token(asking, holder_address, 3);
        asking.return_token(holder_address, customer);
        io.restart();
        while (tokens_left == 0 && io.run_one() > 0)
        {
        }
        CPPUNIT_ASSERT(request_token(asking, holder_address, 1).front() ==
                       token_answer::granted);
    }

    // Failure scenario: a holder was paused, and another instance has granted
    // the tokens since.
    void a_holder_that_may_be_replaced_grants_nothing()
    {
        holding_known = false;
        const auto holder_address = loopback();
        token_exchange holding(io, holder_address, holder());
        token_exchange asking(io, loopback(), holder());
        CPPUNIT_ASSERT(request_token(asking, holder_address, 1).front() ==
                       token_answer::unknown);
        CPPUNIT_ASSERT_EQUAL(2, tokens_left);
    }

    void an_unanswered_request_ends_as_unknown()
    {
        token_exchange asking(io, loopback(), holder());
        CPPUNIT_ASSERT(request_token(asking, loopback(), 1).front() ==
                       token_answer::unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_token_exchange);

} // namespace
