#include "config/internal/YamlEntries.h"

#include <exception>
#include <sstream>
#include <utility>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

namespace coriandergate::config::internal {

namespace {

    constexpr std::size_t maximumDepth = 16; // open nodes
    constexpr std::size_t entryDepth = 2; // open nodes around an entry: the document and the section

    auto nodeAt(YamlNode::Kind kind, const YAML::Mark& mark) -> YamlNode
    {
        YamlNode node;
        node.kind = kind;
        node.line = mark.line < 0 ? 1 : static_cast<std::size_t>(mark.line) + 1;
        node.column = mark.column < 0 ? 1 : static_cast<std::size_t>(mark.column) + 1;
        return node;
    }

} // namespace

YamlEntries::YamlEntries(std::string_view text, EntryCallback onEntry, std::vector<DeclarationFault>& faults)
    : m_text(text)
    , m_onEntry(std::move(onEntry))
    , m_faults(faults)
{
}

auto YamlEntries::run() -> void
{
    try {
        std::istringstream stream(std::move(m_text));
        YAML::Parser parser(stream);
        if (!parser.HandleNextDocument(*this))
            addFault({}, "the declaration is empty", "sections routes, clientAccounts and services");
        else if (parser.HandleNextDocument(*this))
            addFault({}, "a second document follows", "one document");
    } catch (const YAML::Exception& exception) {
        addFault(nodeAt(YamlNode::Kind::Scalar, exception.mark), exception.msg);
    } catch (const std::exception& exception) {
        addFault({}, exception.what());
    }
}

auto YamlEntries::OnNull(const YAML::Mark& mark, YAML::anchor_t) -> void { add(nodeAt(YamlNode::Kind::Scalar, mark)); }

auto YamlEntries::OnAlias(const YAML::Mark& mark, YAML::anchor_t) -> void
{
    const auto node = nodeAt(YamlNode::Kind::Scalar, mark);
    addFault(node, "aliases are not supported", "the value itself");
    add(node);
}

auto YamlEntries::OnScalar(const YAML::Mark& mark, const std::string&, YAML::anchor_t, const std::string& value) -> void
{
    auto node = nodeAt(YamlNode::Kind::Scalar, mark);
    node.scalar = value;
    add(std::move(node));
}

auto YamlEntries::OnSequenceStart(const YAML::Mark& mark, const std::string&, YAML::anchor_t, YAML::EmitterStyle::value)
    -> void
{
    open(nodeAt(YamlNode::Kind::Sequence, mark));
}

auto YamlEntries::OnSequenceEnd() -> void { close(); }

auto YamlEntries::OnMapStart(const YAML::Mark& mark, const std::string&, YAML::anchor_t, YAML::EmitterStyle::value)
    -> void
{
    open(nodeAt(YamlNode::Kind::Mapping, mark));
}

auto YamlEntries::OnMapEnd() -> void { close(); }

auto YamlEntries::open(YamlNode node) -> void
{
    if (m_open.size() >= maximumDepth)
        throw YAML::Exception({}, "the declaration is nested too deep");
    if (m_open.empty() && node.kind != YamlNode::Kind::Mapping)
        addFault(node, "the declaration is not a mapping", "sections routes, clientAccounts and services");
    if (m_open.size() == 1 && node.kind != YamlNode::Kind::Sequence)
        addFault(node, "the section is not a list", "a list of entries");
    if (m_open.size() == 1)
        m_isSectionNext = false;
    m_open.push_back(std::move(node));
}

auto YamlEntries::close() -> void
{
    auto node = std::move(m_open.back());
    m_open.pop_back();
    if (m_open.size() >= entryDepth)
        add(std::move(node));
}

auto YamlEntries::add(YamlNode node) -> void
{
    if (m_open.empty())
        return addFault(node, "the declaration is not a mapping", "sections routes, clientAccounts and services");
    if (m_open.size() == 1)
        return takeSectionName(node);
    if (m_open.size() > entryDepth) {
        m_open.back().items.push_back(std::move(node));
        return;
    }
    if (m_open.front().kind == YamlNode::Kind::Mapping && m_open.back().kind == YamlNode::Kind::Sequence)
        m_onEntry(m_section, m_number++, node);
}

auto YamlEntries::takeSectionName(const YamlNode& node) -> void
{
    if (m_isSectionNext) {
        m_isSectionNext = false;
        if (!node.scalar.empty())
            addFault(node, "the section is not a list", "a list of entries");
        return;
    }
    m_section = node;
    m_number = 0;
    m_isSectionNext = true;
}

auto YamlEntries::addFault(const YamlNode& node, std::string problem, std::string allowed) -> void
{
    const auto field = m_open.empty() ? std::string() : m_section.scalar;
    m_faults.push_back({ node.line, node.column, field, std::move(problem), std::move(allowed) });
}

} // namespace coriandergate::config::internal
