// Where a host stands: its region and its data centre within it.
//
//   const Locality here { "saurashtra", "rajkot-1" };
#pragma once

#include <compare>
#include <string>

namespace coriandergate {

// Locality is a value taken from a daemon's settings.
struct Locality {
    std::string region;
    std::string dataCentre;

    // The check takes the defaulted operator for a comparison with a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Locality&, const Locality&) -> std::strong_ordering = default;
};

} // namespace coriandergate
