#include "config/KeyIndex.h"

#include "config/Configuration.h"
#include "config/KeyDigest.h"

#include <catch2/catch.hpp>

namespace coriandergate::config {

TEST_CASE("KeyIndex finds the account that holds a key and no other", "[config]")
{
    auto configuration = std::make_shared<Configuration>();
    for (int i = 0; i < 500; ++i) {
        ClientAccount account;
        account.name = "account-" + std::to_string(i);
        for (int key = 0; key < i % 3; ++key)
            account.keyDigests.push_back(digestOfKey(account.name + "/" + std::to_string(key)));
        configuration->clientAccounts.push_back(account);
    }
    // Two digests with the same leading bits are still told apart.
    auto twin = configuration->clientAccounts[1].keyDigests[0];
    twin.back() = twin.back() == '0' ? '1' : '0';
    configuration->clientAccounts[0].keyDigests.push_back(twin);
    const KeyIndex index(configuration);
    for (const auto& account : configuration->clientAccounts) {
        for (const auto& digest : account.keyDigests)
            REQUIRE(index.accountForDigest(digest) == &account);
    }
    CHECK(index.accountForKey("account-2/1") == &configuration->clientAccounts[2]);
    CHECK(index.accountForKey("account-2/2") == nullptr);
    CHECK(index.accountForKey("") == nullptr);
    CHECK(index.accountForDigest("") == nullptr);
    CHECK(index.accountForDigest("zz") == nullptr);
}

} // namespace coriandergate::config
