#include "base/BoundedJson.h"

#include "base/Error.h"

#include <cstdint>

namespace coriandergate {

using nlohmann::json;

namespace {

    using DomParser = nlohmann::detail::json_sax_dom_parser<json>;

    // BoundedDomParser builds a value and stops at the first container beyond the maximum depth. The library calls
    // these functions by name; its own parser isn't virtual. NOLINTBEGIN(readability-identifier-naming)
    class BoundedDomParser : public DomParser {
    public:
        explicit BoundedDomParser(json& result)
            : DomParser(result, false)
        {
        }

        auto start_object(std::size_t size) -> bool { return enter() && DomParser::start_object(size); }
        auto end_object() -> bool { return leave() && DomParser::end_object(); }
        auto start_array(std::size_t size) -> bool { return enter() && DomParser::start_array(size); }
        auto end_array() -> bool { return leave() && DomParser::end_array(); }
        auto parse_error(std::size_t position, const std::string& token, const nlohmann::detail::exception& exception)
            -> bool
        {
            m_failure = exception.what();
            return DomParser::parse_error(position, token, exception);
        }

        [[nodiscard]] auto failure() const -> const std::string& { return m_failure; }

    private:
        auto enter() -> bool
        {
            if (++m_depth <= maximumJsonDepth)
                return true;
            m_failure = "nested more than " + std::to_string(maximumJsonDepth) + " levels deep";
            return false;
        }
        auto leave() -> bool
        {
            --m_depth;
            return true;
        }

        std::size_t m_depth = 0;
        std::string m_failure;
    };
    // NOLINTEND(readability-identifier-naming)

    // hasStringOfUnknownLength() goes through the heads of CBOR's data items; malformed ones are left to the library.
    // It reads a part of such a string that is one itself by recursion, to any depth. No writer here uses these
    // strings.
    auto hasStringOfUnknownLength(std::string_view bytes) -> bool
    {
        constexpr unsigned byteString = 2;
        constexpr unsigned textString = 3;
        constexpr unsigned unknownLength = 31;
        constexpr unsigned firstLengthClass = 24; // the argument follows in 1, 2, 4 or 8 bytes
        constexpr unsigned lastLengthClass = 27;
        for (std::size_t at = 0; at < bytes.size();) {
            const auto head = static_cast<std::uint8_t>(bytes[at++]);
            const auto type = head >> 5U;
            const auto information = head & 0x1fU;
            const bool isString = type == byteString || type == textString;
            if (isString && information == unknownLength)
                return true;
            std::uint64_t argument = information;
            if (information >= firstLengthClass && information <= lastLengthClass) {
                const auto argumentBytes = std::size_t { 1 } << (information - firstLengthClass);
                if (bytes.size() - at < argumentBytes)
                    return false;
                argument = 0;
                for (const auto end = at + argumentBytes; at < end; ++at)
                    argument = argument << 8U | static_cast<std::uint8_t>(bytes[at]);
            }
            if (!isString)
                continue;
            if (argument > bytes.size() - at)
                return false;
            at += static_cast<std::size_t>(argument);
        }
        return false;
    }

    auto parse(std::string_view bytes, json::input_format_t format, Error& reason) -> std::optional<json>
    {
        json value;
        BoundedDomParser parser(value);
        bool isParsed = false;
        try {
            isParsed = json::sax_parse(bytes, &parser, format);
        } catch (const json::exception& exception) {
            // An array or object that states an impossible size.
            reason = { "", "", exception.what() };
            return std::nullopt;
        }
        if (isParsed && !value.is_discarded())
            return value;
        reason = { "", "", parser.failure() };
        return std::nullopt;
    }

} // namespace

auto parseBoundedJson(std::string_view text, Error& reason) -> std::optional<json>
{
    return parse(text, json::input_format_t::json, reason);
}

auto parseBoundedCbor(std::string_view bytes, Error& reason) -> std::optional<json>
{
    if (hasStringOfUnknownLength(bytes)) {
        reason = { "", "", "a string of unknown length" };
        return std::nullopt;
    }
    return parse(bytes, json::input_format_t::cbor, reason);
}

} // namespace coriandergate
