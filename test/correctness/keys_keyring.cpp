// Guards the keyring: a key maps to its own customer only, and neither a
// withdrawn key nor the digest of a key is accepted.

#include "support/sample_bundle.hpp"
#include <parsleyplank/core/error.hpp>
#include <parsleyplank/keys/keyring.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using keys::keyring;

namespace
{

class keys_keyring : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(keys_keyring);
    CPPUNIT_TEST(key_belongs_to_its_customer);
    CPPUNIT_TEST(strings_other_than_the_key_are_not_found);
    CPPUNIT_TEST(withdrawn_key_is_not_found);
    CPPUNIT_TEST(malformed_digest_is_rejected_without_showing_it);
    CPPUNIT_TEST_SUITE_END();

    config::bundle content = test::sample_bundle();

public:
    void key_belongs_to_its_customer()
    {
        const keyring ring(content);
        for (const std::string name : {"a", "b"})
        {
            const auto* const found = ring.find("key-" + name);
            CPPUNIT_ASSERT(found != nullptr && found->value == name);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ring.size());
    }

    void strings_other_than_the_key_are_not_found()
    {
        const keyring ring(content);
        for (const std::string& text :
             {std::string(), std::string("key"), std::string("key-a "),
              std::string("KEY-A"), std::string("key-a\0", 6),
              content.keys[0].digest})
            CPPUNIT_ASSERT(ring.find(text) == nullptr);
        CPPUNIT_ASSERT(keyring().find("key-a") == nullptr);
    }

    void withdrawn_key_is_not_found()
    {
        content.keys.erase(content.keys.begin());
        const keyring ring(content);
        CPPUNIT_ASSERT(ring.find("key-a") == nullptr);
        CPPUNIT_ASSERT(ring.find("key-b") != nullptr);
    }

    void malformed_digest_is_rejected_without_showing_it()
    {
        content.keys[0].digest = "open-sesame";
        try
        {
            const keyring ring(content);
            CPPUNIT_FAIL("an error was expected");
        }
        catch (const config_error& ec)
        {
            CPPUNIT_ASSERT(std::string(ec.what()).find("sesame") ==
                           std::string::npos);
        }
        content.keys[0].digest = content.keys[1].digest;
        CPPUNIT_ASSERT_THROW(keyring(content).size(), config_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(keys_keyring);

} // namespace
