#include "config/SnapshotCodec.h"

#include "config/Configuration.h"
#include "config/EntryCodec.h"
#include "config/KeyDigest.h"

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <utility>
#include <vector>

namespace coriandergate::config {

namespace {

    constexpr std::string_view magic = "CGC1";
    constexpr std::size_t lengthBytes = 8;

    auto encodeNumber(std::uint64_t number) -> std::array<unsigned char, lengthBytes>
    {
        std::array<unsigned char, lengthBytes> bytes {};
        for (auto& byte : bytes) {
            byte = static_cast<unsigned char>(number);
            number >>= 8U;
        }
        return bytes;
    }

    template <typename Sink, typename Entry> auto writeEntries(const std::vector<Entry>& entries, Sink& sink) -> void
    {
        sink(encodeNumber(entries.size()));
        std::vector<std::uint8_t> bytes;
        for (const auto& entry : entries) {
            bytes.clear();
            nlohmann::json::to_cbor(nlohmann::json(entry), bytes);
            sink(encodeNumber(bytes.size()));
            sink(bytes);
        }
    }

    template <typename Sink> auto writeSnapshot(const Configuration& configuration, Sink sink) -> void
    {
        sink(magic);
        sink(encodeNumber(configuration.version));
        writeEntries(configuration.services, sink);
        writeEntries(configuration.clientAccounts, sink);
        writeEntries(configuration.routes, sink);
    }

    // Reads from the front of a view; `isGood` turns false, for good, when the view is too short.
    class Reader {
    public:
        explicit Reader(std::string_view bytes)
            : m_rest(bytes)
        {
        }

        auto take(std::uint64_t count) -> std::string_view
        {
            if (count > m_rest.size()) {
                m_isGood = false;
                m_rest = {};
                return {};
            }
            const auto taken = m_rest.substr(0, count);
            m_rest.remove_prefix(count);
            return taken;
        }

        auto takeNumber() -> std::uint64_t
        {
            std::uint64_t number = 0;
            const auto bytes = take(lengthBytes);
            for (auto byte = bytes.rbegin(); byte != bytes.rend(); ++byte)
                number = number << 8U | static_cast<unsigned char>(*byte);
            return number;
        }

        template <typename Entry> auto takeEntries(std::vector<Entry>& entries) -> void
        {
            for (auto count = takeNumber(); count > 0 && m_isGood; --count) {
                const auto bytes = take(takeNumber());
                const auto value = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
                m_isGood = m_isGood && value.is_object();
                if (m_isGood)
                    entries.push_back(value.template get<Entry>());
            }
        }

        [[nodiscard]] auto isGood() const -> bool { return m_isGood; }
        [[nodiscard]] auto isAtEnd() const -> bool { return m_isGood && m_rest.empty(); }

    private:
        std::string_view m_rest;
        bool m_isGood = true;
    };

    auto decodeEntries(std::string_view bytes, Configuration& configuration) -> bool
    {
        Reader reader(bytes);
        if (reader.take(magic.size()) != magic)
            return false;
        configuration.version = reader.takeNumber();
        try {
            reader.takeEntries(configuration.services);
            reader.takeEntries(configuration.clientAccounts);
            reader.takeEntries(configuration.routes);
        } catch (const nlohmann::json::exception&) {
            return false;
        }
        return reader.isAtEnd();
    }

} // namespace

auto encodeSnapshot(const Configuration& configuration) -> std::string
{
    std::string encoded;
    writeSnapshot(configuration, [&encoded](const auto& bytes) { encoded.append(bytes.begin(), bytes.end()); });
    return encoded;
}

auto headOf(const Configuration& configuration) -> ConfigurationHead
{
    crypto_generichash_state state;
    std::array<unsigned char, crypto_generichash_BYTES> digest {};
    crypto_generichash_init(&state, nullptr, 0, digest.size());
    writeSnapshot(configuration, [&state](const auto& bytes) {
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
    });
    crypto_generichash_final(&state, digest.data(), digest.size());
    std::string text(digest.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    text.pop_back();
    return { configuration.version, text };
}

auto decodeSnapshot(std::string_view bytes, const ConfigurationHead& head, Error& reason)
    -> std::optional<Configuration>
{
    if (!areDigestsEqual(digestOfKey(bytes), head.digest)) {
        reason = { "decode snapshot", head.toText(), "the content does not have the digest" };
        return std::nullopt;
    }
    Configuration configuration;
    if (!decodeEntries(bytes, configuration) || configuration.version != head.version) {
        reason = { "decode snapshot", head.toText(), "the content is not a snapshot of this version" };
        return std::nullopt;
    }
    return configuration;
}

} // namespace coriandergate::config
