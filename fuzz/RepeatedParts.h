// Inputs of a few bytes that stand for long ones: a part of an input may say that the bytes before it are repeated.
//
// Each target defines testOneInput(); RepeatedParts.cpp calls it with the whole input.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace coriandergate::fuzz {

// Length of a whole input at most, in bytes. Longer than any bound of a library or a parser.
inline constexpr std::size_t maximumInputBytes = 140'000;

// repeatParts() replaces each mark in `input` by copies of the bytes before it. A mark is the bytes 0x1e and 0x1f, then
// the number of the repeated bytes less one, then the power of two of copies.
[[nodiscard]] auto repeatParts(std::string_view input) -> std::string;

// partBytes() is the size of the parts in which a parser gets `wholeBytes`, chosen by a byte of the input. Parts of
// long inputs are larger, for the time that they take.
[[nodiscard]] inline auto partBytes(std::uint8_t choice, std::size_t wholeBytes) -> std::size_t
{
    constexpr std::size_t shortInputBytes = 4096;
    return (std::size_t { 1 } + choice) * (1 + wholeBytes / shortInputBytes);
}

// testOneInput() plays one whole input; it ends the process if something that must hold doesn't. It returns 0.
auto testOneInput(const std::uint8_t* data, std::size_t size) -> int;

} // namespace coriandergate::fuzz
