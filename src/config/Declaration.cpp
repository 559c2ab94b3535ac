#include "config/Declaration.h"

#include "config/internal/FieldReader.h"
#include "config/internal/YamlEntries.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <yaml-cpp/emitter.h>
#include <yaml-cpp/emittermanip.h>
#include <yaml-cpp/stlemitter.h>

namespace coriandergate::config {

namespace {

    using internal::FieldReader;
    using internal::YamlNode;

    constexpr std::size_t maximumNameLength = 63; // characters
    constexpr std::size_t maximumHostLength = 253; // characters
    constexpr std::size_t maximumPrefixLength = 1024; // characters
    constexpr std::size_t digestLength = 64; // hexadecimal digits
    constexpr double leastRate = 0.001; // requests a second
    constexpr double mostRate = 1e6; // requests a second
    constexpr double leastBurst = 1; // requests
    constexpr double mostBurst = 1e7; // requests
    constexpr std::chrono::milliseconds leastDeadline { 1 };
    constexpr std::chrono::milliseconds mostDeadline { std::chrono::minutes(10) };
    constexpr std::size_t mostBodyBytes = std::size_t { 1 } << 30;

    constexpr std::string_view nameRule
        = "1 to 63 lower-case letters, digits, '-', '_' and '.', with a letter or digit first";
    constexpr std::string_view hostRule = "a host name in lower case without a port";
    constexpr std::string_view prefixRule
        = "1 to 1024 printable characters from '/', without '?', '#', '%', '//' and dot segments";
    constexpr std::string_view digestRule = "64 lower-case hexadecimal digits";
    constexpr std::string_view repeatRule = "idempotent or onceOnly";

    auto hasOnly(std::string_view text, std::string_view others) -> bool
    {
        return std::all_of(text.begin(), text.end(), [&](char character) {
            return std::islower(static_cast<unsigned char>(character)) != 0
                || std::isdigit(static_cast<unsigned char>(character)) != 0
                || others.find(character) != std::string_view::npos;
        });
    }

    auto isName(std::string_view text) -> bool
    {
        return !text.empty() && text.size() <= maximumNameLength && hasOnly(text, "-_.")
            && hasOnly(text.substr(0, 1), "");
    }

    auto isHost(std::string_view text) -> bool { return text.size() <= maximumHostLength && hasOnly(text, "-."); }

    auto isPrefix(std::string_view text) -> bool
    {
        if (text.empty() || text.front() != '/' || text.size() > maximumPrefixLength)
            return false;
        const auto isPlain = std::all_of(
            text.begin(), text.end(), [](unsigned char character) { return std::isgraph(character) != 0; });
        const auto path = std::string(text) + "/";
        return isPlain && text.find_first_of("?#%\\") == std::string_view::npos
            && text.find("//") == std::string_view::npos && path.find("/./") == std::string::npos
            && path.find("/../") == std::string::npos;
    }

    auto isDigest(std::string_view text) -> bool
    {
        return text.size() == digestLength && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    }

    // A name used by an entry, to be looked up when every entry is known.
    struct Reference {
        DeclarationFault place; // without a problem yet
        std::string name;
    };

    class DeclarationReader {
    public:
        explicit DeclarationReader(std::vector<DeclarationFault>& faults)
            : m_faults(faults)
        {
        }

        auto takeEntry(const YamlNode& section, std::size_t number, const YamlNode& entry) -> void
        {
            const auto path = section.scalar + "[" + std::to_string(number) + "]";
            if (number == 0 && !m_sections.insert(section.scalar).second)
                m_faults.push_back(
                    { section.line, section.column, section.scalar, "the section stands twice", "once" });
            if (section.scalar == "routes")
                takeRoute(entry, path);
            else if (section.scalar == "clientAccounts")
                takeAccount(entry, path);
            else if (section.scalar == "services")
                takeService(entry, path);
            else if (number == 0)
                m_faults.push_back({ section.line, section.column, section.scalar, "unknown section",
                    "routes, clientAccounts and services" });
        }

        auto finish() -> Declaration
        {
            checkReferences(m_serviceReferences, m_serviceNames, "no such service is declared");
            checkReferences(m_accountReferences, m_accountNames, "no such client account is declared");
            auto& configuration = m_declaration.configuration;
            const auto byName = [](const auto& left, const auto& right) { return left.name < right.name; };
            std::sort(configuration.routes.begin(), configuration.routes.end(), byName);
            std::sort(configuration.clientAccounts.begin(), configuration.clientAccounts.end(), byName);
            std::sort(configuration.services.begin(), configuration.services.end(), byName);
            return std::move(m_declaration);
        }

    private:
        auto takeName(FieldReader& fields, std::string& name, std::set<std::string>& taken) -> void
        {
            fields.require("name");
            fields.text("name", name, isName, nameRule);
            if (!name.empty() && !taken.insert(name).second)
                fields.fault(*fields.node("name"), "name", "'" + name + "' is declared twice", "names that differ");
        }

        auto takeRoute(const YamlNode& entry, const std::string& path) -> void
        {
            FieldReader fields(entry, path, m_faults);
            Route route;
            takeName(fields, route.name, m_routeNames);
            fields.text("host", route.host, isHost, hostRule);
            fields.require("pathPrefix");
            fields.text("pathPrefix", route.pathPrefix, isPrefix, prefixRule);
            fields.require("service");
            fields.text("service", route.service, isName, nameRule);
            fields.boolean("isOpen", route.isOpen);
            fields.texts("clientAccounts", route.clientAccounts, isName, nameRule);
            std::sort(route.clientAccounts.begin(), route.clientAccounts.end());
            takeRepeatPolicy(fields, route.repeatPolicy);
            fields.duration("deadline", route.deadline, leastDeadline, mostDeadline);
            fields.bytes("maximumRequestBytes", route.maximumRequestBytes, mostBodyBytes);
            fields.bytes("maximumAnswerBytes", route.maximumAnswerBytes, mostBodyBytes);
            fields.finish();
            checkRoute(fields, route, path);
            m_declaration.configuration.routes.push_back(std::move(route));
        }

        static auto takeRepeatPolicy(FieldReader& fields, RepeatPolicy& policy) -> void
        {
            std::string text;
            fields.text(
                "repeatPolicy", text, [](std::string_view word) { return word == "idempotent" || word == "onceOnly"; },
                repeatRule);
            if (!text.empty())
                policy = text == "idempotent" ? RepeatPolicy::Idempotent : RepeatPolicy::OnceOnly;
        }

        auto checkRoute(FieldReader& fields, const Route& route, const std::string& path) -> void
        {
            if (route.isOpen && !route.clientAccounts.empty())
                fields.fault(*fields.node("clientAccounts"), "clientAccounts", "the route is open to all",
                    "either isOpen or clientAccounts");
            // "/a" and "/a/" take the same requests.
            auto prefix = route.pathPrefix;
            if (!prefix.empty() && prefix.back() == '/')
                prefix.pop_back();
            if (!route.pathPrefix.empty()) {
                const auto [taken, isNew] = m_prefixes.emplace(std::make_pair(route.host, prefix), route.name);
                if (!isNew)
                    fields.fault(*fields.node("pathPrefix"), "pathPrefix",
                        "route '" + taken->second + "' takes the same host and prefix", "one route for each");
            }
            if (const auto* service = fields.node("service"); service != nullptr && !route.service.empty())
                m_serviceReferences.push_back(
                    { { service->line, service->column, path + ".service", {}, {} }, route.service });
            for (const auto& account : route.clientAccounts) {
                const auto& list = *fields.node("clientAccounts");
                m_accountReferences.push_back(
                    { { list.line, list.column, path + ".clientAccounts", {}, {} }, account });
            }
        }

        auto takeAccount(const YamlNode& entry, const std::string& path) -> void
        {
            FieldReader fields(entry, path, m_faults);
            ClientAccount account;
            takeName(fields, account.name, m_accountNames);
            fields.require("ratePerSecond");
            fields.number("ratePerSecond", account.ratePerSecond, leastRate, mostRate);
            fields.require("burst");
            fields.number("burst", account.burst, leastBurst, mostBurst);
            fields.texts("keyDigests", account.keyDigests, isDigest, digestRule);
            std::sort(account.keyDigests.begin(), account.keyDigests.end());
            fields.finish();
            if (fields.node("keyDigests") == nullptr)
                m_declaration.accountsWithManagedKeys.insert(account.name);
            for (const auto& digest : account.keyDigests) {
                const auto [taken, isNew] = m_digests.emplace(digest, account.name);
                if (!isNew)
                    fields.fault(*fields.node("keyDigests"), "keyDigests",
                        "'" + digest + "' is a key of '" + taken->second + "' already", "each key once");
            }
            m_declaration.configuration.clientAccounts.push_back(std::move(account));
        }

        auto takeService(const YamlNode& entry, const std::string& path) -> void
        {
            FieldReader fields(entry, path, m_faults);
            Service service;
            takeName(fields, service.name, m_serviceNames);
            fields.number("healthyFloor", service.healthyFloor, 0, 1);
            fields.texts("preferredDataCentres", service.preferredDataCentres, isName, nameRule);
            if (const auto* placements = fields.node("placements"))
                takePlacements(fields, *placements, service, path);
            fields.finish();
            m_declaration.configuration.services.push_back(std::move(service));
        }

        auto takePlacements(FieldReader& fields, const YamlNode& list, Service& service, const std::string& path)
            -> void
        {
            if (list.kind != YamlNode::Kind::Sequence)
                return fields.fault(list, "placements", "the field is not a list", "a list of placements");
            std::set<std::string> taken;
            for (std::size_t i = 0; i < list.items.size(); ++i) {
                FieldReader placementFields(list.items[i], path + ".placements[" + std::to_string(i) + "]", m_faults);
                Placement placement;
                placementFields.require("callerDataCentre");
                placementFields.text("callerDataCentre", placement.callerDataCentre, isName, nameRule);
                placementFields.require("dataCentres");
                placementFields.texts("dataCentres", placement.dataCentres, isName, nameRule);
                placementFields.finish();
                if (!placement.callerDataCentre.empty() && !taken.insert(placement.callerDataCentre).second)
                    placementFields.fault(list.items[i], "callerDataCentre",
                        "'" + placement.callerDataCentre + "' has a placement already", "one placement for each");
                service.placements.push_back(std::move(placement));
            }
        }

        auto checkReferences(const std::vector<Reference>& references, const std::set<std::string>& names,
            const std::string& problem) -> void
        {
            for (const auto& reference : references) {
                if (names.contains(reference.name))
                    continue;
                auto fault = reference.place;
                fault.problem = "'" + reference.name + "': " + problem;
                m_faults.push_back(std::move(fault));
            }
        }

        std::vector<DeclarationFault>& m_faults;
        Declaration m_declaration;
        std::set<std::string> m_sections;
        std::set<std::string> m_routeNames;
        std::set<std::string> m_accountNames;
        std::set<std::string> m_serviceNames;
        std::unordered_map<std::string, std::string> m_digests; // to the account's name
        std::map<std::pair<std::string, std::string>, std::string> m_prefixes; // host and prefix to the route's name
        std::vector<Reference> m_serviceReferences;
        std::vector<Reference> m_accountReferences;
    };

    // printNumber() is the shortest text that reads back as the same number.
    auto printNumber(double number) -> std::string { return nlohmann::json(number).dump(); }

    auto writeTexts(YAML::Emitter& out, const char* name, const std::vector<std::string>& values) -> void
    {
        if (!values.empty())
            out << YAML::Key << name << YAML::Value << YAML::Flow << values;
    }

    auto writeRoute(YAML::Emitter& out, const Route& route) -> void
    {
        out << YAML::BeginMap << YAML::Key << "name" << YAML::Value << route.name;
        if (!route.host.empty())
            out << YAML::Key << "host" << YAML::Value << route.host;
        out << YAML::Key << "pathPrefix" << YAML::Value << route.pathPrefix;
        out << YAML::Key << "service" << YAML::Value << route.service;
        if (route.isOpen)
            out << YAML::Key << "isOpen" << YAML::Value << true;
        writeTexts(out, "clientAccounts", route.clientAccounts);
        out << YAML::Key << "repeatPolicy" << YAML::Value
            << (route.repeatPolicy == RepeatPolicy::Idempotent ? "idempotent" : "onceOnly");
        out << YAML::Key << "deadline" << YAML::Value << std::to_string(route.deadline.count()) + "ms";
        out << YAML::Key << "maximumRequestBytes" << YAML::Value << route.maximumRequestBytes;
        out << YAML::Key << "maximumAnswerBytes" << YAML::Value << route.maximumAnswerBytes << YAML::EndMap;
    }

    auto writeAccount(YAML::Emitter& out, const ClientAccount& account) -> void
    {
        out << YAML::BeginMap << YAML::Key << "name" << YAML::Value << account.name;
        out << YAML::Key << "ratePerSecond" << YAML::Value << printNumber(account.ratePerSecond);
        out << YAML::Key << "burst" << YAML::Value << printNumber(account.burst);
        out << YAML::Key << "keyDigests" << YAML::Value << YAML::Flow << account.keyDigests << YAML::EndMap;
    }

    auto writeService(YAML::Emitter& out, const Service& service) -> void
    {
        out << YAML::BeginMap << YAML::Key << "name" << YAML::Value << service.name;
        out << YAML::Key << "healthyFloor" << YAML::Value << printNumber(service.healthyFloor);
        writeTexts(out, "preferredDataCentres", service.preferredDataCentres);
        if (!service.placements.empty()) {
            out << YAML::Key << "placements" << YAML::Value << YAML::BeginSeq;
            for (const auto& placement : service.placements) {
                out << YAML::BeginMap << YAML::Key << "callerDataCentre" << YAML::Value << placement.callerDataCentre;
                out << YAML::Key << "dataCentres" << YAML::Value << YAML::Flow << placement.dataCentres << YAML::EndMap;
            }
            out << YAML::EndSeq;
        }
        out << YAML::EndMap;
    }

    template <typename Entry, typename Writer>
    auto writeSection(YAML::Emitter& out, const char* name, const std::vector<Entry>& entries, Writer writeEntry)
        -> void
    {
        out << YAML::Key << name << YAML::Value << YAML::BeginSeq;
        for (const auto& entry : entries)
            writeEntry(out, entry);
        out << YAML::EndSeq;
    }

} // namespace

auto parseDeclaration(std::string_view text, std::vector<DeclarationFault>& faults) -> std::optional<Declaration>
{
    DeclarationReader reader(faults);
    internal::YamlEntries entries(
        text,
        [&reader](const YamlNode& section, std::size_t number, const YamlNode& entry) {
            reader.takeEntry(section, number, entry);
        },
        faults);
    entries.run();
    auto declaration = reader.finish();
    std::stable_sort(faults.begin(), faults.end(), [](const DeclarationFault& left, const DeclarationFault& right) {
        return std::tie(left.line, left.column) < std::tie(right.line, right.column);
    });
    if (!faults.empty())
        return std::nullopt;
    return declaration;
}

auto writeDeclaration(const Configuration& configuration) -> std::string
{
    YAML::Emitter out;
    out << YAML::BeginMap;
    writeSection(out, "services", configuration.services, writeService);
    writeSection(out, "clientAccounts", configuration.clientAccounts, writeAccount);
    writeSection(out, "routes", configuration.routes, writeRoute);
    out << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

} // namespace coriandergate::config
