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
    constexpr std::size_t maximumDigestBuckets = 4096;
    constexpr std::size_t profileFieldCount = 4;
    constexpr std::size_t maximumUpdateFieldCount = 6; // the last field, the profile, is optional

    // Estimated sizes for estimatedEncodedBytes().
    constexpr std::size_t updateOverheadBytes = 24;
    constexpr std::size_t profileOverheadBytes = 16;
    constexpr std::size_t targetOverheadBytes = 9;
    constexpr std::size_t serviceOverheadBytes = 3;

    // The JSON library parses nested arrays recursively, so the nesting depth is checked before the actual parse.
    constexpr int maximumNestingDepth = 8;

    // DepthLimiter is a SAX handler that aborts parsing at arrays nested deeper than any message, and at objects.
    class DepthLimiter : public nlohmann::json_sax<Json> {
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
            return ++m_depth <= maximumNestingDepth;
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
        DepthLimiter limiter;
        if (!Json::sax_parse(bytes.begin(), bytes.end(), &limiter, Json::input_format_t::cbor))
            return Json(Json::value_t::discarded);
        return Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    }

    // ArrayReader reads the fields of a CBOR array in order and records whether one was missing, out of range or of the
    // wrong type.
    class ArrayReader {
    public:
        explicit ArrayReader(const Json& array)
            : m_array(array)
            , m_isValid(array.is_array())
        {
        }

        template <typename Number> auto number() -> Number
        {
            const auto* const field = next();
            if (field == nullptr || !field->is_number_unsigned()) {
                m_isValid = false;
                return 0;
            }
            const auto value = field->get<std::uint64_t>();
            m_isValid = m_isValid && value <= std::numeric_limits<Number>::max();
            return static_cast<Number>(value);
        }

        auto text() -> std::string
        {
            const auto* const field = next();
            if (field == nullptr || !field->is_string()
                || field->get_ref<const std::string&>().size() > maximumTextBytes) {
                m_isValid = false;
                return {};
            }
            return field->get<std::string>();
        }

        // array() returns the next field if it is an array of at most `maximumSize` fields, otherwise an empty array.
        auto array(std::size_t maximumSize) -> const Json&
        {
            static const Json s_empty = Json::array();
            const auto* const field = next();
            if (field != nullptr && field->is_array() && field->size() <= maximumSize)
                return *field;
            m_isValid = false;
            return s_empty;
        }

        auto fail() -> void { m_isValid = false; }
        [[nodiscard]] auto hasMore() const -> bool { return m_isValid && m_position < m_array.size(); }
        [[nodiscard]] auto isValid() const -> bool { return m_isValid; }

    private:
        auto next() -> const Json* { return hasMore() ? &m_array[m_position++] : nullptr; }

        const Json& m_array;
        std::size_t m_position = 0;
        bool m_isValid;
    };

    auto ipOf(const std::string& address) -> std::string { return address.substr(0, address.rfind(':')); }

    // encodeTargetAddress() writes only the port when the target has its daemon's IP address.
    auto encodeTargetAddress(const RemoteTarget& target, const std::string& daemonIp) -> Json
    {
        const auto parsed = parseHostAddress(target.address);
        if (parsed && ipOf(target.address) == daemonIp)
            return parsed->port;
        return target.address;
    }

    auto encodeProfile(const MemberProfile& profile, const std::string& address) -> Json
    {
        std::map<std::string, Json> services;
        for (const auto& target : profile.targets) {
            auto& list = services[target.service];
            list.push_back(encodeTargetAddress(target, ipOf(address)));
            list.push_back(target.slots);
        }
        auto targets = Json::array();
        for (auto& [service, list] : services) {
            targets.push_back(service);
            targets.push_back(std::move(list));
        }
        return { profile.incarnation, profile.locality.region, profile.locality.dataCentre, std::move(targets) };
    }

    auto decodeTargets(ArrayReader& reader, const std::string& daemonIp, MemberProfile& profile) -> void
    {
        ArrayReader services(reader.array(maximumTargets));
        while (services.hasMore()) {
            const auto service = services.text();
            const auto& list = services.array(2 * maximumTargets);
            if (!services.isValid() || list.size() % 2 != 0) {
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
                auto address = isPort ? daemonIp + ":" + std::to_string(list[i].get<std::uint64_t>())
                                      : list[i].get<std::string>();
                if (!parseHostAddress(address)) {
                    reader.fail();
                    return;
                }
                profile.targets.push_back({ service, std::move(address), list[i + 1].get<std::uint32_t>() });
            }
        }
    }

    auto decodeProfile(ArrayReader& reader, const std::string& address) -> std::shared_ptr<const MemberProfile>
    {
        auto profile = std::make_shared<MemberProfile>();
        profile->incarnation = reader.number<std::uint64_t>();
        profile->locality.region = reader.text();
        profile->locality.dataCentre = reader.text();
        decodeTargets(reader, ipOf(address), *profile);
        return profile;
    }

    auto encodeUpdate(const MemberUpdate& update) -> Json
    {
        Json array = { update.address, update.generation, update.refutationNumber,
            static_cast<std::uint32_t>(update.state), update.profileVersion };
        if (update.profile)
            array.push_back(encodeProfile(*update.profile, update.address));
        return array;
    }

    auto decodeUpdate(const Json& array, ArrayReader& outer) -> MemberUpdate
    {
        ArrayReader reader(array);
        MemberUpdate update;
        update.address = reader.text();
        update.generation = reader.number<std::uint64_t>();
        update.refutationNumber = reader.number<std::uint32_t>();
        const auto state = reader.number<std::uint32_t>();
        update.profileVersion = reader.number<std::uint32_t>();
        if (reader.hasMore()) {
            ArrayReader profile(reader.array(profileFieldCount));
            update.profile = decodeProfile(profile, update.address);
            if (!profile.isValid())
                reader.fail();
        }
        if (!reader.isValid() || state > static_cast<std::uint32_t>(MemberState::Dead)
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
        auto operator()(const UpdatesOnly&) const -> void { }
        auto operator()(const ExchangeDigest& body) const -> void { array.push_back(body.bucketHashes); }
        auto operator()(const ExchangeVersions&) const -> void { }
        auto operator()(const ExchangePull& body) const -> void { array.push_back(body.addresses); }
        auto operator()(const ExchangeProfiles&) const -> void { }
    };

    auto decodeDigest(ArrayReader& reader) -> ExchangeDigest
    {
        ExchangeDigest digest;
        ArrayReader hashes(reader.array(maximumDigestBuckets));
        while (hashes.hasMore())
            digest.bucketHashes.push_back(hashes.number<std::uint32_t>());
        if (!hashes.isValid() || digest.bucketHashes.empty())
            reader.fail();
        return digest;
    }

    auto decodePull(ArrayReader& reader) -> ExchangePull
    {
        ExchangePull pull;
        ArrayReader addresses(reader.array(maximumUpdates));
        while (addresses.hasMore())
            pull.addresses.push_back(addresses.text());
        if (!addresses.isValid())
            reader.fail();
        return pull;
    }

    // `kind` is the index of the alternative in GossipBody.
    auto decodeBody(std::uint32_t kind, ArrayReader& reader) -> GossipBody
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
            return UpdatesOnly {};
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
            return UpdatesOnly {};
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
    ArrayReader reader(array);
    GossipMessage message;
    if (reader.number<std::uint32_t>() != formatVersion)
        reader.fail();
    const auto kind = reader.number<std::uint32_t>();
    message.sender = decodeUpdate(reader.array(maximumUpdateFieldCount), reader);
    message.configurationVersion = reader.number<std::uint64_t>();
    message.seatEpoch = reader.number<std::uint64_t>();
    for (const auto& update : reader.array(maximumUpdates))
        message.updates.push_back(decodeUpdate(update, reader));
    message.body = decodeBody(kind, reader);
    if (reader.isValid() && !reader.hasMore())
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
        if (ipOf(target.address) != ipOf(update.address))
            bytes += target.address.size();
        if (service == nullptr || *service != target.service)
            bytes += serviceOverheadBytes + target.service.size();
        service = &target.service;
    }
    return bytes;
}

} // namespace coriandergate::member
