// A small tree of one part of a YAML document, every node with its place.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace coriandergate::config::internal {

// YamlNode is a scalar, a sequence or a mapping. Mappings keep their order and their repeated keys.
struct YamlNode {
    enum class Kind {
        Scalar,
        Sequence,
        Mapping,
    };

    Kind kind = Kind::Scalar;
    std::size_t line = 1;
    std::size_t column = 1;
    std::string scalar;
    std::vector<YamlNode> items; // of a sequence; of a mapping: key, value, key, value ...
};

} // namespace coriandergate::config::internal
