// The operators who may use the API, each with the digest of a token.
//
//   auto operators = parseOperators("ann:5f0c...,bob:77aa...", reason);
//   const auto name = operators->nameFor(token); // empty: nobody's
#pragma once

#include "base/Error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::control {

// OperatorTable never changes.
class OperatorTable {
public:
    struct Entry {
        std::string name;
        std::string tokenDigest;
    };

    explicit OperatorTable(std::vector<Entry> entries);

    // nameFor() is the operator who holds `token`, or empty. It compares with every digest, in constant time each. Safe
    // from any thread.
    [[nodiscard]] auto nameFor(std::string_view token) const -> std::string;

    [[nodiscard]] auto empty() const -> bool { return m_entries.empty(); }

private:
    std::vector<Entry> m_entries;
};

// parseOperators() reads "name:digest,name:digest"; digests are those of config::digestOfKey(). Safe from any thread.
[[nodiscard]] auto parseOperators(std::string_view text, Error& reason) -> std::optional<OperatorTable>;

} // namespace coriandergate::control
