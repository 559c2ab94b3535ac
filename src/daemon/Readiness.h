// What a daemon still lacks before it can serve; the health page fails until it lacks nothing.
//
//   kernel.find<Readiness>()->add([directory] { return directory->map().epoch > 0 ? "" : "no seat map is known yet";
//   });
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace coriandergate::daemon {

// Readiness is filled on the main thread before the listeners start; lacking() is safe from any thread afterwards.
class Readiness {
public:
    // Check is a few words on what is lacking, empty when nothing is. Safe from any thread.
    using Check = std::function<std::string()>;

    auto add(Check check) -> void { m_checks.push_back(std::move(check)); }

    // lacking() is the first thing that is lacking, empty when the daemon can serve.
    [[nodiscard]] auto lacking() const -> std::string
    {
        for (const auto& check : m_checks) {
            if (auto words = check(); !words.empty())
                return words;
        }
        return {};
    }

private:
    std::vector<Check> m_checks;
};

} // namespace coriandergate::daemon
