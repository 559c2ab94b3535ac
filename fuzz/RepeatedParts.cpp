#include "fuzz/RepeatedParts.h"

#include <algorithm>
#include <array>

namespace coriandergate::fuzz {

namespace {

    constexpr std::string_view mark = "\x1e\x1f";
    constexpr std::size_t markBytes = 4;
    constexpr unsigned powers = 18; // up to 131,072 copies

} // namespace

auto repeatParts(std::string_view input) -> std::string
{
    std::string whole;
    while (!input.empty()) {
        const auto at = std::min(input.find(mark), input.size());
        whole.append(input.substr(0, at));
        input.remove_prefix(at);
        if (input.size() < markBytes) {
            whole.append(input);
            break;
        }
        const auto partBytes
            = std::min<std::size_t>(std::size_t { 1 } + static_cast<std::uint8_t>(input[2]), whole.size());
        const auto copies = std::size_t { 1 } << (static_cast<std::uint8_t>(input[3]) % powers);
        const auto part = whole.substr(whole.size() - partBytes);
        for (std::size_t i = 0; i < copies && whole.size() + partBytes <= maximumInputBytes; ++i)
            whole.append(part);
        input.remove_prefix(markBytes);
    }
    return whole;
}

} // namespace coriandergate::fuzz

// NOLINTNEXTLINE(readability-identifier-naming): the library's name.
extern "C" auto LLVMFuzzerMutate(std::uint8_t* data, std::size_t size, std::size_t maximumSize) -> std::size_t;

// Puts a mark into some inputs; the library's own changes would hardly find one.
// NOLINTNEXTLINE(readability-identifier-naming): the library's name.
extern "C" auto LLVMFuzzerCustomMutator(std::uint8_t* data, std::size_t size, std::size_t maximumSize, unsigned seed)
    -> std::size_t
{
    using coriandergate::fuzz::mark;
    using coriandergate::fuzz::markBytes;
    constexpr unsigned oneIn = 32;
    if (seed % oneIn != 0 || size == 0 || size + markBytes > maximumSize)
        return LLVMFuzzerMutate(data, size, maximumSize);
    const auto bits = seed / oneIn;
    const auto at = 1 + bits % size;
    std::copy_backward(data + at, data + size, data + size + markBytes);
    const std::array<std::uint8_t, markBytes> inserted { static_cast<std::uint8_t>(mark[0]),
        static_cast<std::uint8_t>(mark[1]), static_cast<std::uint8_t>((bits >> 8U) % 48),
        static_cast<std::uint8_t>(bits >> 16U) };
    std::copy(inserted.begin(), inserted.end(), data + at);
    return size + markBytes;
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int // NOLINT
{
    const auto whole = coriandergate::fuzz::repeatParts({ reinterpret_cast<const char*>(data), size });
    return coriandergate::fuzz::testOneInput(reinterpret_cast<const std::uint8_t*>(whole.data()), whole.size());
}
