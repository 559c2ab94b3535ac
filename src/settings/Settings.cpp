#include "settings/Settings.h"

#include "settings/SettingDefinition.h"

#include <QString>
#include <QStringList>
#include <cctype>
#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>

namespace coriandergate::settings {

Settings::Settings(std::map<std::string, std::string> values)
    : m_values(std::move(values))
{
}

auto Settings::text(const std::string& name) const -> const std::string&
{
    const auto found = m_values.find(name);
    if (found == m_values.end()) {
        std::cerr << "no such setting: " << name << '\n';
        std::abort();
    }
    return found->second;
}

auto Settings::integer(const std::string& name) const -> std::int64_t { return std::stoll(text(name)); }

auto Settings::duration(const std::string& name) const -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(integer(name));
}

auto Settings::list(const std::string& name) const -> std::vector<std::string>
{
    std::vector<std::string> parts;
    for (const auto& part : QString::fromStdString(text(name)).split(',', Qt::SkipEmptyParts)) {
        if (const auto trimmed = part.trimmed(); !trimmed.isEmpty())
            parts.push_back(trimmed.toStdString());
    }
    return parts;
}

auto usageText(const std::string& program, const std::string& summary) -> std::string
{
    std::string text = program + " - " + summary + "\n\nUsage:\n  " + program + " [options]\n  " + program
        + " (-h | --help)\n  " + program + " --version\n  " + program
        + " --event-catalogue\n\nOptions:\n  -h --help  Show this text.\n"
        + "  --version  Show the version.\n  --event-catalogue  Show the numbered log events.\n";
    for (const auto& definition : registeredSettings()) {
        text += "  --" + definition.name + "=<value>  " + definition.help + "; " + describeRange(definition.kind) + "; "
            + variableName(definition.name)
            + "; default: " + (definition.defaultValue.empty() ? "empty" : definition.defaultValue) + "\n";
    }
    return text;
}

auto variableName(const std::string& setting) -> std::string
{
    std::string name = "CORIANDERGATE_";
    for (const char c : setting)
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

auto processEnvironment() -> Environment
{
    return [](const std::string& name) -> std::optional<std::string> {
        const char* value = std::getenv(name.c_str());
        return value ? std::optional<std::string>(value) : std::nullopt;
    };
}

namespace {

    // Only what docopt needs to know the flags: its regular expressions recurse over the text, and the whole help of
    // many settings can overflow the stack.
    auto flagsText(const std::string& program) -> std::string
    {
        std::string text = "Usage:\n  " + program + " [options]\n\nOptions:\n";
        for (const auto& definition : registeredSettings())
            text += "  --" + definition.name + "=<value>\n";
        return text;
    }

    // docopt's own functions print and exit, or throw; only this one place sees its exceptions.
    auto parseFlags(const std::string& usage, const std::vector<std::string>& arguments, std::vector<Error>& faults)
        -> std::optional<std::map<std::string, docopt::value>>
    {
        try {
            return docopt::docopt_parse(usage, arguments, false, false);
        } catch (const std::exception& exception) {
            faults.push_back({ "read flags", "", std::string(exception.what()) + "; see --help" });
            return std::nullopt;
        }
    }

    auto chooseValue(const SettingDefinition& definition, const std::map<std::string, docopt::value>& flags,
        const Environment& environment) -> std::string
    {
        const auto flag = flags.find("--" + definition.name);
        if (flag != flags.end() && flag->second.isString())
            return flag->second.asString();
        return environment(variableName(definition.name)).value_or(definition.defaultValue);
    }

} // namespace

auto readSettings(const std::string& program, const std::string&, const std::vector<std::string>& arguments,
    const Environment& environment, std::vector<Error>& faults) -> std::optional<Settings>
{
    const auto flags = parseFlags(flagsText(program), arguments, faults);
    if (!flags)
        return std::nullopt;
    std::map<std::string, std::string> values;
    for (const auto& definition : registeredSettings()) {
        auto value = chooseValue(definition, *flags, environment);
        if (!isAllowed(definition.kind, value))
            faults.push_back({ "check settings", "--" + definition.name,
                "'" + value + "' is not allowed; give " + describeRange(definition.kind) });
        values.emplace(definition.name, std::move(value));
    }
    if (!faults.empty())
        return std::nullopt;
    return Settings(std::move(values));
}

} // namespace coriandergate::settings
