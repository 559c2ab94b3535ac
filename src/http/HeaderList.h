// The headers of one HTTP message, in the order and spelling in which they arrived.
//
//   HeaderList headers;
//   headers.add("Content-Type", "text/plain");
//   if (auto type = headers.find("content-type")) ...
#pragma once

#include "http/Header.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::http {

// HeaderList is a value. Names are compared without regard to case; the same name may stand several times.
class HeaderList {
public:
    using ConstIterator = std::vector<Header>::const_iterator;

    // add() appends a header. Line breaks within `value` are replaced by blanks, so that none can start a new line.
    auto add(std::string_view name, std::string_view value) -> void;

    // replace() removes every header of that name and appends one.
    auto replace(std::string_view name, std::string_view value) -> void;

    // removeAll() removes every header of that name and returns how many there were.
    auto removeAll(std::string_view name) -> std::size_t;

    // find() is the value of the first header of that name.
    [[nodiscard]] auto find(std::string_view name) const -> std::optional<std::string_view>;

    // count() is the number of headers of that name.
    [[nodiscard]] auto count(std::string_view name) const -> std::size_t;

    [[nodiscard]] auto begin() const -> ConstIterator { return m_headers.begin(); }
    [[nodiscard]] auto end() const -> ConstIterator { return m_headers.end(); }
    [[nodiscard]] auto size() const -> std::size_t { return m_headers.size(); }

private:
    std::vector<Header> m_headers;
};

// isSameName() compares two header names without regard to ASCII case.
[[nodiscard]] auto isSameName(std::string_view left, std::string_view right) -> bool;

// removeHopByHop() removes the headers that concern one connection only: the fixed ones of RFC 9110, section 7.6.1, and
// those that a Connection header names.
auto removeHopByHop(HeaderList& headers) -> void;

} // namespace coriandergate::http
