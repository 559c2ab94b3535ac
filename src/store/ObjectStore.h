// The platform's object store, as the project sees it: immutable objects under names, larger than rows may be.
//
// Names carry a digest of the content, so that writing one twice is harmless and what was read can be checked.
//
//   objects.put("configuration/snapshots/12-5f0c", bytes, [](PutResult result) { ... });
#pragma once

#include "store/TableService.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace coriandergate::store {

// Stored: an object of this name is there. A put of a name that exists already leaves it as it is and is Stored.
struct Stored { };

using PutResult = std::variant<Stored, Unavailable, OutcomeUnknown>;
using FetchResult = std::variant<std::optional<std::string>, Unavailable>;

// ObjectStore follows the same rules for callbacks and threads as TableService. A put whose outcome is unknown may be
// repeated.
class ObjectStore {
public:
    using PutCallback = std::function<void(PutResult)>;
    using FetchCallback = std::function<void(FetchResult)>;

    ObjectStore() = default;
    ObjectStore(const ObjectStore&) = delete;
    auto operator=(const ObjectStore&) -> ObjectStore& = delete;
    virtual ~ObjectStore() = default;

    // put() creates the object `name`, unless it exists.
    virtual auto put(std::string_view name, std::string content, PutCallback done) -> void = 0;

    // fetch() reads the object `name`; nullopt when there is none.
    virtual auto fetch(std::string_view name, FetchCallback done) -> void = 0;
};

} // namespace coriandergate::store
