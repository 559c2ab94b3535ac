// Answers of targets. The first byte is the size of the parts in which the rest arrives, the second the options.
#include "fuzz/RepeatedParts.h"
#include "fuzz/Require.h"
#include "http/Answer.h"
#include "http/AnswerParser.h"

#include <algorithm>
#include <cstdint>
#include <string>

using namespace coriandergate::http;
using coriandergate::fuzz::require;

namespace {

// Small limits, and limits that are larger than those of the library behind the parser.
constexpr AnswerParser::Options smallLimits { .maximumHeaderBytes = 512, .maximumBodyBytes = 1024 };
constexpr AnswerParser::Options largeLimits { .maximumHeaderBytes = 128 * 1024, .maximumBodyBytes = 64 * 1024 };

auto isVisible(char c) -> bool { return c > ' ' && c < '\x7f'; }

auto isControl(char c) -> bool { return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == '\x7f'; }

auto parse(std::string_view bytes, std::size_t partBytes, std::uint8_t choices) -> AnswerParser
{
    auto options = (choices & 4) != 0 ? largeLimits : smallLimits;
    options.isHead = (choices & 1) != 0;
    options.mayEndWithConnection = (choices & 2) != 0;
    AnswerParser parser(options);
    std::string unread;
    while (!bytes.empty() && parser.progress() == ParseProgress::NeedsMore) {
        const auto part = bytes.substr(0, partBytes);
        bytes.remove_prefix(part.size());
        unread += part;
        const auto used = parser.feed(unread);
        require(used <= unread.size());
        unread.erase(0, used);
        require(unread.size() <= 2 * options.maximumHeaderBytes || parser.progress() != ParseProgress::NeedsMore);
    }
    if (parser.progress() == ParseProgress::NeedsMore)
        parser.finishAtEnd();
    return parser;
}

} // namespace

auto coriandergate::fuzz::testOneInput(const std::uint8_t* data, std::size_t size) -> int
{
    if (size < 3)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 2, size - 2);
    auto whole = parse(bytes, bytes.size(), data[1]);
    auto inParts = parse(bytes, fuzz::partBytes(data[0], bytes.size()), data[1]);
    // Beast refuses a bare CR in an unfinished head at once only if it is given the head at once.
    require((whole.progress() == ParseProgress::Complete) == (inParts.progress() == ParseProgress::Complete));
    if (whole.progress() != ParseProgress::Complete) {
        require(whole.progress() != ParseProgress::Failed || !whole.failureReason().empty());
        return 0;
    }
    const auto answer = whole.takeAnswer();
    const auto same = inParts.takeAnswer();
    require(answer.status == same.status && answer.body == same.body);
    require(answer.status >= 200 && answer.status <= 999);
    require(answer.body.size() <= largeLimits.maximumBodyBytes);
    for (const auto& header : answer.headers) {
        require(!header.name.empty() && std::all_of(header.name.begin(), header.name.end(), isVisible));
        require(std::none_of(header.value.begin(), header.value.end(), isControl));
    }
    return 0;
}
