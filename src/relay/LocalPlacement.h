// Whether requests of entries may reach the target of this host, as far as its place decides that.
//
// An entry chooses only targets where its request may go, by the configuration that it knows. The daemon beside the
// target looks again, because everything that reaches the target passes through it and it may know more.
//
//   const LocalPlacement placement(context);
//   if (const auto why = placement.objection(runRequest); !why.empty()) ... // not sent
#pragma once

#include <string_view>

namespace coriandergate::relay {

struct EntryContext;
struct RunRequest;

// LocalPlacement is used on the thread of its context, which outlives it.
class LocalPlacement {
public:
    explicit LocalPlacement(const EntryContext& context)
        : m_context(context)
    {
    }

    // isEvacuated() returns whether the data centre of this host is evacuated.
    [[nodiscard]] auto isEvacuated() const -> bool;

    // objection() returns why the request may not be executed here, or an empty text. It judges home regions only if it
    // knows a newer configuration than the entry: with an older one it would refuse what has become allowed.
    [[nodiscard]] auto objection(const RunRequest& message) const -> std::string_view;

    static constexpr std::string_view s_evacuatedReason = "the data centre is evacuated";

private:
    const EntryContext& m_context;
};

} // namespace coriandergate::relay
