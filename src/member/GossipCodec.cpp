#include "member/GossipCodec.h"

#include "base/Error.h"
#include "member/HostAddress.h"
#include "member/MemberProfile.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <map>

namespace coriandergate::member {

namespace {

    using Json = nlohmann::json;

    constexpr std::uint32_t formatVersion = 1;
    constexpr std::size_t maximumTextBytes = 256;
    constexpr std::size_t maximumUpdates = 8192;
    constexpr std::size_t maximumTargets = 1024;
    constexpr std::size_t maximumBuckets = 4096;

    // Estimates of the encoded form, in bytes.
    constexpr std::size_t updateOverheadBytes = 24;
    constexpr std::size_t profileOverheadBytes = 16;
    constexpr std::size_t targetOverheadBytes = 9;
    constexpr std::size_t serviceOverheadBytes = 3;

    // The library reads nested arrays by recursion, so depth is bounded before the bytes are read in earnest.
    constexpr int maximumDepth = 8;

    // DepthCheck is the library's event interface; it stops the parser below the greatest depth of a message.
    class DepthCheck : public nlohmann::json_sax<Json> {
    public:
        auto null() -> bool override { return true; }
        auto boolean(bool) -> bool override { return true; }
        auto number_integer(number_integer_t) -> bool override { return true; } // NOLINT(readability-identifier-naming)
        auto number_unsigned(number_unsigned_t) -> bool override
        {
            return true;
        } // NOLINT(readability-identifier-naming)
        auto number_float(number_float_t, const string_t&) -> bool override
        {
            return true;
        } // NOLINT(readability-identifier-naming)
        auto string(string_t&) -> bool override { return true; }
        auto binary(binary_t&) -> bool override { return true; }
        auto start_object(std::size_t) -> bool override { return false; } // NOLINT(readability-identifier-naming)
        auto key(string_t&) -> bool override { return false; }
        auto end_object() -> bool override { return false; } // NOLINT(readability-identifier-naming)
        auto start_array(std::size_t) -> bool override
        {
            return ++m_depth <= maximumDepth;
        } // NOLINT(readability-identifier-naming)
        auto end_array() -> bool override { return --m_depth >= 0; } // NOLINT(readability-identifier-naming)
        auto parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&)
            -> bool override // NOLINT(readability-identifier-naming)
        {
            return false;
        }

    private:
        int m_depth = 0;
    };

    auto parseCbor(std::span<const std::uint8_t> bytes) -> Json
    {
        DepthCheck check;
        if (!Json::sax_parse(bytes.begin(), bytes.end(), &check, Json::input_format_t::cbor))
            return Json(Json::value_t::discarded);
        return Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    }

    // Reader takes fields from a CBOR array one by one and remembers whether one was missing or of the wrong type.
    class Reader {
    public:
        explicit Reader(const Json& array)
            : m_array(array)
            , m_isGood(array.is_array())
        {
        }

        template <typename Number> auto number() -> Number
        {
            const auto* const field = next();
            if (field == nullptr || !field->is_number_unsigned()) {
                m_isGood = false;
                return 0;
            }
            const auto value = field->get<std::uint64_t>();
            m_isGood = m_isGood && value <= std::numeric_limits<Number>::max();
            return static_cast<Number>(value);
        }

        auto text() -> std::string
        {
            const auto* const field = next();
            if (field == nullptr || !field->is_string()
                || field->get_ref<const std::string&>().size() > maximumTextBytes) {
                m_isGood = false;
                return {};
            }
            return field->get<std::string>();
        }

        // array() is the next field when it is an array of at most `maximumSize` fields, else an empty array.
        auto array(std::size_t maximumSize) -> const Json&
        {
            static const Json s_empty = Json::array();
            const auto* const field = next();
            if (field != nullptr && field->is_array() && field->size() <= maximumSize)
                return *field;
            m_isGood = false;
            return s_empty;
        }

        auto fail() -> void { m_isGood = false; }
        [[nodiscard]] auto hasMore() const -> bool { return m_isGood && m_position < m_array.size(); }
        [[nodiscard]] auto isGood() const -> bool { return m_isGood; }

    private:
        auto next() -> const Json* { return hasMore() ? &m_array[m_position++] : nullptr; }

        const Json& m_array;
        std::size_t m_position = 0;
        bool m_isGood;
    };

    auto hostOf(const std::string& address) -> std::string { return address.substr(0, address.rfind(':')); }

    // A target on its daemon's own IP address is written as its port alone.
    auto encodeTargetAddress(const RemoteTarget& target, const std::string& daemonHost) -> Json
    {
        const auto parsed = parseHostAddress(target.address);
        if (parsed && hostOf(target.address) == daemonHost)
            return parsed->port;
        return target.address;
    }

    auto encodeProfile(const MemberProfile& profile, const std::string& address) -> Json
    {
        std::map<std::string, Json> services;
        for (const auto& target : profile.targets) {
            auto& list = services[target.service];
            list.push_back(encodeTargetAddress(target, hostOf(address)));
            list.push_back(target.slots);
        }
        auto targets = Json::array();
        for (auto& [service, list] : services) {
            targets.push_back(service);
            targets.push_back(std::move(list));
        }
        return { profile.incarnation, profile.locality.region, profile.locality.dataCentre, std::move(targets) };
    }

    auto decodeTargets(Reader& reader, const std::string& daemonHost, MemberProfile& profile) -> void
    {
        Reader services(reader.array(maximumTargets));
        while (services.hasMore()) {
            const auto service = services.text();
            const auto& list = services.array(2 * maximumTargets);
            if (!services.isGood() || list.size() % 2 != 0) {
                reader.fail();
                return;
            }
            for (std::size_t i = 0; i < list.size(); i += 2) {
                const auto isPort = list[i].is_number_unsigned();
                if ((!isPort && !list[i].is_string()) || !list[i + 1].is_number_unsigned()
                    || profile.targets.size() >= maximumTargets) {
                    reader.fail();
                    return;
                }
                auto address = isPort ? daemonHost + ":" + std::to_string(list[i].get<std::uint64_t>())
                                      : list[i].get<std::string>();
                if (!parseHostAddress(address)) {
                    reader.fail();
                    return;
                }
                profile.targets.push_back({ service, std::move(address), list[i + 1].get<std::uint32_t>() });
            }
        }
    }

    auto decodeProfile(Reader& reader, const std::string& address) -> std::shared_ptr<const MemberProfile>
    {
        auto profile = std::make_shared<MemberProfile>();
        profile->incarnation = reader.number<std::uint64_t>();
        profile->locality.region = reader.text();
        profile->locality.dataCentre = reader.text();
        decodeTargets(reader, hostOf(address), *profile);
        return profile;
    }

    auto encodeUpdate(const MemberUpdate& update) -> Json
    {
        Json array = { update.address, update.generation, update.refutation, static_cast<std::uint32_t>(update.state),
            update.profileVersion };
        if (update.profile)
            array.push_back(encodeProfile(*update.profile, update.address));
        return array;
    }

    auto decodeUpdate(const Json& array, Reader& outer) -> MemberUpdate
    {
        Reader reader(array);
        MemberUpdate update;
        update.address = reader.text();
        update.generation = reader.number<std::uint64_t>();
        update.refutation = reader.number<std::uint32_t>();
        const auto state = reader.number<std::uint32_t>();
        update.profileVersion = reader.number<std::uint32_t>();
        if (reader.hasMore()) {
            Reader profile(reader.array(4));
            update.profile = decodeProfile(profile, update.address);
            if (!profile.isGood())
                reader.fail();
        }
        if (!reader.isGood() || state > static_cast<std::uint32_t>(MemberState::Dead)
            || !parseHostAddress(update.address))
            outer.fail();
        else
            update.state = static_cast<MemberState>(state);
        return update;
    }

    struct BodyEncoder {
        Json& array;

        auto operator()(const Ping& body) const -> void { array.push_back(body.sequence); }
        auto operator()(const Ack& body) const -> void { array.push_back(body.sequence); }
        auto operator()(const IndirectPing& body) const -> void
        {
            array.push_back(body.sequence);
            array.push_back(body.address);
        }
        auto operator()(const Rumours&) const -> void { }
        auto operator()(const ExchangeDigest& body) const -> void { array.push_back(body.bucketHashes); }
        auto operator()(const ExchangeVersions&) const -> void { }
        auto operator()(const ExchangePull& body) const -> void { array.push_back(body.addresses); }
        auto operator()(const ExchangeProfiles&) const -> void { }
    };

    auto decodeDigest(Reader& reader) -> ExchangeDigest
    {
        ExchangeDigest digest;
        Reader hashes(reader.array(maximumBuckets));
        while (hashes.hasMore())
            digest.bucketHashes.push_back(hashes.number<std::uint32_t>());
        if (!hashes.isGood() || digest.bucketHashes.empty())
            reader.fail();
        return digest;
    }

    auto decodePull(Reader& reader) -> ExchangePull
    {
        ExchangePull pull;
        Reader addresses(reader.array(maximumUpdates));
        while (addresses.hasMore())
            pull.addresses.push_back(addresses.text());
        if (!addresses.isGood())
            reader.fail();
        return pull;
    }

    auto decodeBody(std::uint32_t kind, Reader& reader) -> GossipBody
    {
        switch (kind) {
        case 0:
            return Ping { reader.number<std::uint32_t>() };
        case 1:
            return Ack { reader.number<std::uint32_t>() };
        case 2: {
            const auto sequence = reader.number<std::uint32_t>();
            return IndirectPing { sequence, reader.text() };
        }
        case 3:
            return Rumours {};
        case 4:
            return decodeDigest(reader);
        case 5:
            return ExchangeVersions {};
        case 6:
            return decodePull(reader);
        case 7:
            return ExchangeProfiles {};
        default:
            reader.fail();
            return Rumours {};
        }
    }

}

auto encodeGossip(const GossipMessage& message) -> std::vector<std::uint8_t>
{
    auto updates = Json::array();
    for (const auto& update : message.updates)
        updates.push_back(encodeUpdate(update));
    Json array = { formatVersion, static_cast<std::uint32_t>(message.body.index()), encodeUpdate(message.sender),
        message.configurationVersion, message.seatEpoch, std::move(updates) };
    std::visit(BodyEncoder { array }, message.body);
    return Json::to_cbor(array);
}

auto decodeGossip(std::span<const std::uint8_t> bytes, Error& reason) -> std::optional<GossipMessage>
{
    const auto array = parseCbor(bytes);
    Reader reader(array);
    GossipMessage message;
    if (reader.number<std::uint32_t>() != formatVersion)
        reader.fail();
    const auto kind = reader.number<std::uint32_t>();
    message.sender = decodeUpdate(reader.array(6), reader);
    message.configurationVersion = reader.number<std::uint64_t>();
    message.seatEpoch = reader.number<std::uint64_t>();
    for (const auto& update : reader.array(maximumUpdates))
        message.updates.push_back(decodeUpdate(update, reader));
    message.body = decodeBody(kind, reader);
    if (reader.isGood() && !reader.hasMore())
        return message;
    reason = { "decode gossip", message.sender.address,
        "malformed message of " + std::to_string(bytes.size()) + " bytes" };
    return std::nullopt;
}

auto estimatedEncodedBytes(const MemberUpdate& update) -> std::size_t
{
    auto bytes = updateOverheadBytes + update.address.size();
    if (!update.profile)
        return bytes;
    bytes += profileOverheadBytes + update.profile->locality.region.size() + update.profile->locality.dataCentre.size();
    const std::string* service = nullptr;
    for (const auto& target : update.profile->targets) {
        bytes += targetOverheadBytes;
        if (hostOf(target.address) != hostOf(update.address))
            bytes += target.address.size();
        if (service == nullptr || *service != target.service)
            bytes += serviceOverheadBytes + target.service.size();
        service = &target.service;
    }
    return bytes;
}

} // namespace coriandergate::member
