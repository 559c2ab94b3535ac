// Requests of callers. The first byte tells the size of the parts in which the rest arrives, and the limits.
#include "fuzz/RepeatedParts.h"
#include "fuzz/Require.h"
#include "http/RequestParser.h"
#include "http/Serialize.h"

#include <cstdint>

using namespace coriandergate::http;
using coriandergate::fuzz::require;

namespace {

// Small limits, and limits that are larger than those of the library behind the parser.
constexpr RequestParser::Options smallLimits { .maximumHeaderBytes = 512, .maximumBodyBytes = 1024 };
constexpr RequestParser::Options largeLimits { .maximumHeaderBytes = 128 * 1024, .maximumBodyBytes = 64 * 1024 };
// Of the parser's own estimate for each byte that it read, with the nodes of the header fields.
constexpr std::size_t heldBytesPerByte = 256;

auto parse(std::string_view bytes, std::size_t partBytes, const RequestParser::Options& limits) -> RequestParser
{
    RequestParser parser(limits);
    std::string unread;
    while (!bytes.empty() && parser.progress() == ParseProgress::NeedsMore) {
        const auto part = bytes.substr(0, partBytes);
        bytes.remove_prefix(part.size());
        unread += part;
        const auto used = parser.feed(unread);
        require(used <= unread.size());
        unread.erase(0, used);
        require(parser.bodyBytes() <= limits.maximumBodyBytes);
        require(parser.heldBytes() <= heldBytesPerByte * (limits.maximumHeaderBytes + limits.maximumBodyBytes));
        require(unread.size() <= 2 * limits.maximumHeaderBytes || parser.progress() != ParseProgress::NeedsMore);
    }
    return parser;
}

auto requireSame(const Request& left, const Request& right) -> void
{
    require(left.method == right.method && left.target == right.target && left.body == right.body
        && left.isKeepAlive == right.isKeepAlive);
    require(serializeRequest(left) == serializeRequest(right));
}

} // namespace

auto coriandergate::fuzz::testOneInput(const std::uint8_t* data, std::size_t size) -> int
{
    if (size < 2)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    const auto& limits = data[0] >= 0x80 ? largeLimits : smallLimits;
    auto whole = parse(bytes, bytes.size(), limits);
    auto inParts = parse(bytes, fuzz::partBytes(data[0], bytes.size()), limits);
    // Beast refuses a bare CR in an unfinished head at once only if it is given the head at once.
    require((whole.progress() == ParseProgress::Complete) == (inParts.progress() == ParseProgress::Complete));
    if (whole.progress() == ParseProgress::Failed)
        require(whole.failureStatus() >= 400 && !whole.failureReason().empty());
    if (whole.progress() != ParseProgress::Complete)
        return 0;
    const auto request = whole.takeRequest();
    requireSame(request, inParts.takeRequest());
    // What the next server reads is the same request.
    auto forwarded = request;
    removeHopByHop(forwarded.headers);
    RequestParser next({ .maximumHeaderBytes = 2 * largeLimits.maximumHeaderBytes });
    const auto text = serializeRequest(forwarded);
    require(next.feed(text) == text.size());
    require(next.progress() == ParseProgress::Complete);
    const auto received = next.takeRequest();
    require(received.method == request.method && received.target == request.target && received.body == request.body);
    return 0;
}
