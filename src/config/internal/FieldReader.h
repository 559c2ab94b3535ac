// Reads the fields of one entry of a declaration and reports every fault with its place.
//
//   FieldReader fields(node, "routes[3]", faults);
//   fields.text("name", route.name, isName, nameRule);
//   fields.finish(); // names the fields that nobody asked for
#pragma once

#include "config/DeclarationFault.h"
#include "config/internal/YamlNode.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::config::internal {

// FieldReader keeps a field's former value when the field is absent or wrong. Views must outlive the reader.
class FieldReader {
public:
    using TextRule = std::function<bool(std::string_view)>;

    FieldReader(const YamlNode& entry, std::string path, std::vector<DeclarationFault>& faults);

    // require() reports the field when it is absent.
    auto require(std::string_view name) -> void;

    // text() reads a scalar that satisfies `rule`, described by `allowed`.
    auto text(std::string_view name, std::string& value, const TextRule& rule, std::string_view allowed) -> void;

    // texts() reads a list of scalars of which each satisfies `rule`.
    auto texts(std::string_view name, std::vector<std::string>& values, const TextRule& rule, std::string_view allowed)
        -> void;

    // number() reads a finite number from `least` to `most`.
    auto number(std::string_view name, double& value, double least, double most) -> void;

    // bytes() reads a whole number of bytes up to `most`.
    auto bytes(std::string_view name, std::size_t& value, std::size_t most) -> void;

    // boolean() reads true or false.
    auto boolean(std::string_view name, bool& value) -> void;

    // duration() reads a whole number with the unit ms, s or m.
    auto duration(std::string_view name, std::chrono::milliseconds& value, std::chrono::milliseconds least,
        std::chrono::milliseconds most) -> void;

    // node() is the field, or null.
    [[nodiscard]] auto node(std::string_view name) -> const YamlNode*;

    // fault() reports `problem` at `place`.
    auto fault(const YamlNode& place, std::string_view name, std::string problem, std::string_view allowed) -> void;

    // finish() reports the fields that were never asked for.
    auto finish() -> void;

private:
    [[nodiscard]] auto scalar(std::string_view name) -> const YamlNode*;

    const YamlNode& m_entry;
    std::string m_path;
    std::vector<DeclarationFault>& m_faults;
    std::map<std::string_view, const YamlNode*> m_fields;
    std::set<std::string_view> m_known;
};

} // namespace coriandergate::config::internal
