// Starts the registered plug-ins and lets them find each other's services by type.
//
// A plug-in provides what it offers, under the interface that others know, and takes what it needs:
//
//   kernel.provide<proxy::RateGate>(m_shares);
//   auto workers = kernel.find<http::WorkerPool>(); // null when nobody provides one
#pragma once

#include <memory>
#include <string>
#include <typeindex>
#include <unordered_map>
#include <vector>

namespace coriandergate {
struct Error;
}

namespace coriandergate::kernel {

class Plugin;

// Kernel is used on the main thread only; what it hands out has its own rules.
class Kernel {
public:
    Kernel();
    ~Kernel();

    Kernel(const Kernel&) = delete;
    auto operator=(const Kernel&) -> Kernel& = delete;

    // provide() makes `service` known as a T, in place of one provided before.
    template <typename T> auto provide(std::shared_ptr<T> service) -> void
    {
        m_services[std::type_index(typeid(T))] = std::move(service);
    }

    // find() is the service known as a T, or null.
    template <typename T> [[nodiscard]] auto find() const -> std::shared_ptr<T>
    {
        const auto found = m_services.find(std::type_index(typeid(T)));
        return found == m_services.end() ? nullptr : std::static_pointer_cast<T>(found->second);
    }

    // start() starts every registered plug-in in order. On failure those already started are stopped again.
    [[nodiscard]] auto start(Error& reason) -> bool;

    // stop() stops the plug-ins in reverse order and drops the services.
    auto stop() -> void;

private:
    std::unordered_map<std::type_index, std::shared_ptr<void>> m_services;
    std::vector<std::unique_ptr<Plugin>> m_started;
};

} // namespace coriandergate::kernel
