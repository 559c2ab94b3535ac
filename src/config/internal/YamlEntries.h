// Reads a YAML document of the shape "section: [entry, entry, ...]" and hands over one entry at a time, so that a
// document of many thousand entries never stands in memory as a tree.
//
//   YamlEntries reader(text, onEntry, faults);
//   reader.run();
#pragma once

#include "config/DeclarationFault.h"
#include "config/internal/YamlNode.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/eventhandler.h>

namespace coriandergate::config::internal {

// YamlEntries reports what does not fit the shape, aliases and syntax errors as faults.
class YamlEntries : private YAML::EventHandler {
public:
    // EntryCallback takes an entry, its section and its number within the section.
    using EntryCallback = std::function<void(const YamlNode& section, std::size_t number, const YamlNode& entry)>;

    YamlEntries(std::string_view text, EntryCallback onEntry, std::vector<DeclarationFault>& faults);

    // run() reads the whole document.
    auto run() -> void;

private:
    auto OnDocumentStart(const YAML::Mark&) -> void override { }
    auto OnDocumentEnd() -> void override { }
    auto OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) -> void override;
    auto OnAlias(const YAML::Mark& mark, YAML::anchor_t anchor) -> void override;
    auto OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, const std::string& value)
        -> void override;
    auto OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
        YAML::EmitterStyle::value style) -> void override;
    auto OnSequenceEnd() -> void override;
    auto OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
        YAML::EmitterStyle::value style) -> void override;
    auto OnMapEnd() -> void override;

    auto open(YamlNode node) -> void;
    auto close() -> void;
    auto add(YamlNode node) -> void;
    auto takeSectionName(const YamlNode& node) -> void;
    auto addFault(const YamlNode& node, std::string problem, std::string allowed = {}) -> void;

    std::string m_text;
    EntryCallback m_onEntry;
    std::vector<DeclarationFault>& m_faults;
    std::vector<YamlNode> m_open; // the document's mapping, the section's sequence, then the parts of one entry
    YamlNode m_section;
    bool m_isSectionNext = false; // a section's name was read, its sequence follows
    std::size_t m_number = 0;
};

} // namespace coriandergate::config::internal
